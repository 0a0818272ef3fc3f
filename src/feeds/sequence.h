#pragma once

// Observe sequence numbers (RFC 7641, 3.4 and 4.4).

#include <cstdint>

namespace hornbeam {

constexpr uint32_t sequenceMask = 0xFFFFFF;            // sequence numbers have 24 bits
constexpr uint64_t sequenceLifetimeMs = 128ULL * 1000; // ms; after this time any number counts as newer (RFC 7641, 3.4)

/** Whether `newer` follows `older` in 24-bit serial number arithmetic, without the time rule. Thread safe. */
bool isNewerSequence(uint32_t newer, uint32_t older);

/** Whether a caller treats a notification as newer than the last one it accepted (RFC 7641, 3.4). Times in ms. Thread safe. */
bool isNewerSequence(uint32_t newer, uint64_t newerAtMs, uint32_t older, uint64_t olderAtMs);

/**
 * Returns the number after `last`, sent at `lastAtMs`: the wall clock modulo 2^24, or `last` + 1 if the clock is behind.
 * `last` is ignored once its lifetime has passed, as callers no longer compare with it. Times in ms. Thread safe.
 */
uint32_t nextSequence(uint32_t last, uint64_t lastAtMs, uint64_t nowMs);

} // namespace hornbeam
