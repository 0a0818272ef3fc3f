#pragma once

// The other ends of flows: what callers write into packets, and what targets and operators write into the store.

#include "flows/flowpacket.h"
#include "flows/routetable.h"
#include "flows/targetdirectory.h"

#include <string>

namespace hornbeam::standins {

/** Writes a caller's packet with a checksum over all that a balancer must leave alone. Thread safe. */
Bytes writeCallerPacket(const FlowPacket &packet, const Bytes &content);
/** Whether a packet is as its caller wrote it, its token aside. Precondition: parsePacket read it. Thread safe. */
bool isUnchanged(const uint8_t *packet, size_t size);
/** What a target writes of itself, as JSON text. Thread safe. */
std::string writeTarget(const TargetRecord &record);
/** A configuration as operators write it, as JSON text. Thread safe. */
std::string writeConfiguration(const RouteConfiguration &configuration);

} // namespace hornbeam::standins
