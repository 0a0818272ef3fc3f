#include "servicesockets.h"

#include <algorithm>
#include <mutex>

namespace hornbeam {

ServiceSockets::ServiceSockets(boost::asio::io_context &context, uint32_t address, size_t workers, CallerPacketHandler handler)
    : context(context), address(address), workers(workers), handler(std::move(handler))
{
}

std::vector<std::string> ServiceSockets::update(const std::vector<std::shared_ptr<const ServiceTable>> &tables)
{
    const std::unique_lock lock(this->mutex);
    std::erase_if(this->services, [&tables](const auto &entry) {
        return std::none_of(tables.begin(), tables.end(), [&entry](const auto &table) { return table->id == entry.first && table->port == entry.second.port; });
    });
    std::vector<std::string> failures;
    for (const auto &table : tables) {
        if (this->services.count(table->id) > 0) {
            continue;
        }
        std::string failure = this->openService(*table);
        if (!failure.empty()) {
            failures.push_back(std::move(failure));
        }
    }
    return failures;
}

std::string ServiceSockets::openService(const ServiceTable &table)
{
    Service service;
    service.port = table.port;
    for (size_t i = 0; i < this->workers; ++i) {
        auto socket = std::make_unique<UdpSocket>(this->context, Endpoint{ this->address, table.port }, true);
        if (!socket->error().empty()) {
            return "service=" + table.name + " " + socket->error();
        }
        service.sockets.push_back(std::move(socket));
    }
    for (const auto &socket : service.sockets) {
        socket->beginReceive([this, id = table.id](const Endpoint &from, const uint8_t *data, size_t size) { this->handler(id, from, data, size); });
    }
    this->services.emplace(table.id, std::move(service));
    return {};
}

void ServiceSockets::send(ServiceId service, const Endpoint &caller, const Bytes &packet)
{
    const std::shared_lock lock(this->mutex);
    const auto found = this->services.find(service);
    if (found != this->services.end()) {
        found->second.sockets.front()->send(caller, packet);
    }
}

} // namespace hornbeam
