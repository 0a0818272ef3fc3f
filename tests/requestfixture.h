#pragma once

// A request engine over fakes; the test plays the callers and the targets.

#include "core/upstreamtoken.h"
#include "fakes.h"
#include "requests/requestengine.h"

#include <string>

namespace hornbeam {
inline namespace request_fakes {

struct RequestFixture
{
    static constexpr ServiceId service = 5;
    static constexpr ZoneId zone = 1;
    static constexpr MemberId self = 10;
    static constexpr MemberId peer = 20;
    static constexpr Incarnation incarnation = 1000;

    ManualClock clock;
    KeyRing keys{ { Bytes(32, 9) } };
    FakeDirectory directory;
    FakeTables tables;
    FakeSlotProvider slotProvider;
    Counters counters;
    RequestSettings settings;
    Endpoint caller{ 0x7F000001, 40000 };
    Endpoint targets[2] = { { 0x7F000101, 5683 }, { 0x7F000102, 5683 } };
    std::unique_ptr<RequestEngine> engine;
    Actions out;
    uint16_t nextMessageId = 100;

    explicit RequestFixture(const RequestSettings &initialSettings = {}, MemberId id = self) : settings(initialSettings)
    {
        this->directory.own = { id, zone, {}, incarnation, 0, MemberState::Alive };
        this->directory.members[peer] = { peer, zone, {}, 2000, 0, MemberState::Alive };
        this->directory.zones = { zone };
        this->setTable(2);
        this->engine =
            std::make_unique<RequestEngine>(this->settings, this->directory, this->tables, this->slotProvider, this->clock, this->counters, this->keys);
    }
    void setTable(size_t rows)
    {
        ServiceTable table;
        table.id = service;
        for (size_t i = 0; i < rows; ++i) {
            TargetRow row;
            row.id = 100 + i;
            row.endpoint = this->targets[i];
            table.rows.push_back(row);
        }
        this->tables.tables[service] = std::make_shared<const ServiceTable>(table);
    }

    //--- Callers
    Bytes request(CoapCode code, const Bytes &echo, uint16_t messageId, std::optional<uint32_t> deadlineMs = {}, const char *body = "body") const
    {
        std::vector<CoapOption> options;
        if (!echo.empty()) {
            options.push_back({ optionEcho, echo });
        }
        if (deadlineMs.has_value()) {
            options.push_back({ optionDeadline, optionValue(*deadlineMs) });
        }
        return buildCoap(CoapType::Confirmable, code, messageId, { 0xAB }, options, body);
    }
    void deliver(const Bytes &packet, uint8_t hops = 0)
    {
        const Relay origin{ service, this->caller, 0, hops, packet };
        this->engine->onCallerPacket(origin, *parseCoap(packet), this->out);
    }
    /** The last packet sent to a caller, parsed; throws when there is none. */
    CoapMessage lastResponse() const
    {
        return parseCoap(this->out.toCallers.at(this->out.toCallers.size() - 1).packet).value();
    }
    std::string lastPayload() const
    {
        const Bytes &packet = this->out.toCallers.at(this->out.toCallers.size() - 1).packet;
        const std::string text(packet.begin(), packet.end());
        const size_t marker = text.find('\xFF', this->lastResponse().tailOffset);
        return marker == std::string::npos ? "" : text.substr(marker + 1);
    }
    /** Sends a POST without an Echo value and returns the value of the challenge. */
    Bytes requestEcho()
    {
        this->deliver(this->request(CoapCode::Post, {}, ++this->nextMessageId));
        return this->lastResponse().echo;
    }
    void sendPost(const Bytes &value, std::optional<uint32_t> deadlineMs = {})
    {
        this->deliver(this->request(CoapCode::Post, value, ++this->nextMessageId, deadlineMs));
    }
    void sendGet()
    {
        this->deliver(this->request(CoapCode::Get, {}, ++this->nextMessageId));
    }

    //--- Slots and targets
    void grant(size_t target)
    {
        const AcquireParams params = this->slotProvider.takePendingRequest();
        this->engine->slotGranted({ params.request, params.service, zone, 100 + target, this->targets[target] }, this->out);
    }
    CoapMessage lastSent() const
    {
        return parseCoap(this->out.toTargets.at(this->out.toTargets.size() - 1).packet).value();
    }
    void respondFromTarget(const Endpoint &from, const CoapMessage &sent, CoapCode code, const char *payload, CoapType type = CoapType::Acknowledgement)
    {
        const Bytes packet = buildCoap(type, code, sent.messageId, code == CoapCode::Empty ? Bytes{} : sent.token, {}, payload);
        this->engine->onTargetPacket(from, packet.data(), packet.size(), *parseCoap(packet), this->out);
    }
    /** Advances the clock in steps of 50 ms, with a tick after each. */
    void advanceTime(Duration time)
    {
        for (Duration done{}; done < time; done += milliseconds(50)) {
            this->clock.advance(milliseconds(50));
            this->engine->tick(this->out);
        }
    }
};

} // namespace request_fakes
} // namespace hornbeam
