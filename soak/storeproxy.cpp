#include "storeproxy.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace hornbeam::soak {

namespace {
using boost::asio::ip::tcp;
using boost::system::error_code;

tcp::endpoint endpointOf(const Endpoint &endpoint)
{
    return { boost::asio::ip::address_v4(endpoint.address), endpoint.port };
}
}

/** One connection of the instance and the one to the store that belongs to it. Keeps itself alive until either ends. */
class StoreProxy::Link : public std::enable_shared_from_this<StoreProxy::Link>
{
public:
    Link(StoreProxy &proxy, tcp::socket near) : proxy(proxy), up{ std::move(near), proxy.context, {} }, down{ tcp::socket(proxy.context), proxy.context, {} }
    {
    }

    void begin()
    {
        this->down.socket.async_connect(this->proxy.store, [self = this->shared_from_this()](const error_code &error) {
            if (error) {
                self->reset();
                return;
            }
            self->pump(self->up, self->down, false);
            self->pump(self->down, self->up, true);
        });
    }

    void reset()
    {
        error_code ignored; // the connection ends in any case
        this->up.socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        this->up.socket.close(ignored);
        this->down.socket.close(ignored);
        this->up.timer.cancel();
        this->down.timer.cancel();
    }

    void silence()
    {
        this->isSilent = true;
    }

    // Answers the first piece of a request, which holds its head, without the store.
    void refuse(std::string response)
    {
        this->up.socket.async_read_some(boost::asio::buffer(this->up.buffer),
                                        [self = this->shared_from_this(), response = std::move(response)](const error_code &error, size_t) {
                                            if (error) {
                                                return; // the instance has closed the connection
                                            }
                                            const auto text = std::make_shared<const std::string>(response);
                                            boost::asio::async_write(self->up.socket, boost::asio::buffer(*text), [self, text](const error_code &, size_t) {
                                                error_code ignored; // the connection ends in any case
                                                self->up.socket.shutdown(tcp::socket::shutdown_send, ignored);
                                            });
                                        });
    }

private:
    struct Side
    {
        tcp::socket socket;
        boost::asio::steady_timer timer; // delays what was read from the socket
        std::array<char, 16384> buffer{};

        Side(tcp::socket socket, boost::asio::io_context &context, std::array<char, 16384>) : socket(std::move(socket)), timer(context)
        {
        }
    };

    void pump(Side &from, Side &to, bool isAnswer)
    {
        from.socket.async_read_some(boost::asio::buffer(from.buffer),
                                    [self = this->shared_from_this(), &from, &to, isAnswer](const error_code &error, size_t size) {
                                        if (error && !(isAnswer && self->isSilent)) {
                                            error_code ignored; // the other side learns of the end by it
                                            to.socket.shutdown(tcp::socket::shutdown_send, ignored);
                                            return;
                                        }
                                        if (error) {
                                            return; // the end is kept back, too
                                        }
                                        from.timer.expires_after(self->proxy.mode == ProxyMode::Delay ? self->proxy.delay : Duration{ 0 });
                                        from.timer.async_wait([self, &from, &to, isAnswer, size](const error_code &cancelled) {
                                            if (!cancelled) {
                                                self->pass(from, to, isAnswer, size);
                                            }
                                        });
                                    });
    }

    void pass(Side &from, Side &to, bool isAnswer, size_t size)
    {
        if (isAnswer && this->isSilent) {
            this->pump(from, to, isAnswer);
            return;
        }
        boost::asio::async_write(to.socket, boost::asio::buffer(from.buffer, size),
                                 [self = this->shared_from_this(), &from, &to, isAnswer](const error_code &error, size_t) {
                                     if (!error) {
                                         self->pump(from, to, isAnswer);
                                     }
                                 });
    }

    StoreProxy &proxy;
    Side up;
    Side down;
    bool isSilent = false;
};

StoreProxy::StoreProxy(boost::asio::io_context &context, const Endpoint &listen, const Endpoint &store)
    : context(context), acceptor(context, endpointOf(listen)), store(endpointOf(store))
{
    this->accept();
}

StoreProxy::~StoreProxy() = default;

void StoreProxy::setMode(ProxyMode mode, Duration delay)
{
    this->mode = mode;
    this->delay = delay;
    std::erase_if(this->links, [](const std::weak_ptr<Link> &link) { return link.expired(); });
    for (const std::weak_ptr<Link> &weak : this->links) {
        const std::shared_ptr<Link> link = weak.lock();
        if (mode == ProxyMode::Reset || mode == ProxyMode::Busy || mode == ProxyMode::Many) {
            link->reset();
        } else if (mode == ProxyMode::Silent) {
            link->silence();
        }
    }
}

void StoreProxy::accept()
{
    this->acceptor.async_accept([this](const error_code &error, tcp::socket socket) {
        if (error) {
            return;
        }
        const auto link = std::make_shared<Link>(*this, std::move(socket));
        if (this->mode == ProxyMode::Reset) {
            link->reset();
        } else if (this->mode == ProxyMode::Busy || this->mode == ProxyMode::Many) {
            const std::string status = this->mode == ProxyMode::Busy ? "503 Service Unavailable" : "429 Too Many Requests";
            link->refuse("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        } else {
            if (this->mode == ProxyMode::Silent) {
                link->silence();
            }
            this->links.push_back(link);
            link->begin();
        }
        this->accept();
    });
}

} // namespace hornbeam::soak
