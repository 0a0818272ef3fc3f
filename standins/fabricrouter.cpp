#include "fabricrouter.h"

#include <boost/asio/steady_timer.hpp>

using namespace hornbeam;

namespace {

constexpr uint32_t loopback = 0x7F000001;

} // namespace

FabricRouter::FabricRouter(boost::asio::io_context &context, uint64_t seed) : context(context), random(seed)
{
}

std::string FabricRouter::addService(const Endpoint &address, uint16_t instancePort)
{
    auto service = std::make_unique<Service>();
    service->socket = std::make_unique<UdpSocket>(this->context, address, false);
    if (!service->socket->error().empty()) {
        return service->socket->error();
    }
    service->instancePort = instancePort;
    Service *opened = service.get();
    opened->socket->beginReceive(
        [this, opened](const Endpoint &from, const uint8_t *data, size_t size) { this->onCallerPacket(*opened, from, Bytes(data, data + size)); });
    this->services.push_back(std::move(service));
    return {};
}

void FabricRouter::updateInstances(std::vector<FabricInstance> instances)
{
    this->instances = std::move(instances);
}

void FabricRouter::updateFaults(const FabricFaults &faults)
{
    this->faults = faults;
}

const FabricReport &FabricRouter::report() const
{
    return this->counts;
}

void FabricRouter::onCallerPacket(Service &service, const Endpoint &caller, const Bytes &packet)
{
    ++this->counts.fromCallers;
    UdpSocket *socket = this->findCaller(service, caller);
    if (socket == nullptr || this->instances.empty()) {
        ++this->counts.lost;
        return;
    }
    const size_t chosen = this->random() % this->instances.size();
    this->send(*socket, Endpoint{ this->instances[chosen].address, service.instancePort }, packet);
}

UdpSocket *FabricRouter::findCaller(Service &service, const Endpoint &caller)
{
    auto &socket = service.callers[caller];
    if (!socket) {
        socket = std::make_unique<UdpSocket>(this->context, Endpoint{ loopback, 0 }, false);
        if (!socket->error().empty()) {
            service.callers.erase(caller);
            return nullptr;
        }
        socket->beginReceive([this, &service, caller](const Endpoint &, const uint8_t *data, size_t size) {
            ++this->counts.toCallers;
            this->send(*service.socket, caller, Bytes(data, data + size));
        });
    }
    return socket.get();
}

void FabricRouter::send(UdpSocket &socket, const Endpoint &to, const Bytes &packet)
{
    if (this->draw(this->faults.loss)) {
        ++this->counts.lost;
        return;
    }
    if (this->draw(this->faults.duplicate)) {
        ++this->counts.duplicated;
        socket.send(to, packet);
    }
    if (!this->draw(this->faults.reorder)) {
        socket.send(to, packet);
        return;
    }
    ++this->counts.reordered;
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context, std::chrono::milliseconds(this->faults.reorderMs));
    timer->async_wait([timer, &socket, to, packet](const boost::system::error_code &) { socket.send(to, packet); });
}

bool FabricRouter::draw(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}
