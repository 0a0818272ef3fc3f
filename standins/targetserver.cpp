#include "targetserver.h"

#include <cstdio>

using namespace hornbeam;

namespace {

constexpr milliseconds drainPoll(20);

} // namespace

TargetServer::TargetServer(boost::asio::io_context &context, const TargetOptions &options)
    : context(context), socket(context, options.listen, false), model(options, this->clock, *this)
{
}

std::string TargetServer::error() const
{
    return this->socket.error();
}

Endpoint TargetServer::local() const
{
    return this->socket.local();
}

void TargetServer::begin()
{
    this->socket.beginReceive([this](const Endpoint &from, const uint8_t *data, size_t size) { this->model.onPacket(from, Bytes(data, data + size)); });
    this->model.begin();
}

void TargetServer::beginDrain()
{
    this->model.beginDrain();
    this->checkDrained();
}

void TargetServer::checkDrained()
{
    if (this->model.isDrained()) {
        this->context.stop();
        return;
    }
    this->runAfter(drainPoll, [this] { this->checkDrained(); });
}

const TargetReport &TargetServer::report() const
{
    return this->model.report();
}

void TargetServer::send(const Endpoint &to, const Bytes &packet)
{
    this->socket.send(to, packet);
}

void TargetServer::runAfter(Duration delay, std::function<void()> work)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context, delay);
    timer->async_wait([timer, work = std::move(work)](const boost::system::error_code &failure) {
        if (!failure) {
            work();
        }
    });
}

void TargetServer::onExecuted(const std::string &identity)
{
    std::printf("executed %s\n", identity.c_str());
    std::fflush(stdout);
}
