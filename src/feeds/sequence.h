#pragma once

// Observe sequence numbers (RFC 7641, 3.4 and 4.4).

#include <cstdint>

namespace hornbeam {

constexpr uint32_t sequenceMask = 0xFFFFFF;            // sequence numbers have 24 bits
constexpr uint64_t sequenceLifetimeMs = 128ULL * 1000; // ms; after it any number counts as newer (RFC 7641, 3.4)

/** Whether sequence `newer` comes after `older` in 24-bit serial arithmetic, the time rule left out. Thread safe. */
bool isNewerSequence(uint32_t newer, uint32_t older);

/** Whether a caller takes a notification for newer than the last one it took (RFC 7641, 3.4). Times in ms. Thread safe. */
bool isNewerSequence(uint32_t newer, uint64_t newerAtMs, uint32_t older, uint64_t olderAtMs);

/**
 * The number after `last`, which was sent at `lastAtMs`: the wall clock modulo 2^24, or one more than `last` where the clock is behind.
 * A last number that callers no longer compare with is left out. Times in ms. Thread safe.
 */
uint32_t nextSequence(uint32_t last, uint64_t lastAtMs, uint64_t nowMs);

} // namespace hornbeam
