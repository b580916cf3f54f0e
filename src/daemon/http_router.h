/** Dispatches HTTP requests to handlers by path prefix. The first matching prefix wins. */
#pragma once

#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "http/server.h"

namespace plantainfork::daemon
{

class HttpRouter
{
public:
    void add(std::string prefix, http::Handler handler)
    {
        m_routes.push_back({std::move(prefix), std::move(handler)});
    }

    /** Responds with 404 if no prefix matches. No routes may be added once requests arrive. */
    [[nodiscard]] boost::asio::awaitable<http::Response> handle(http::Request request) const
    {
        for (const auto &route : m_routes) {
            if (request.path().substr(0, route.prefix.size()) == route.prefix) {
                co_return co_await route.handler(std::move(request));
            }
        }
        co_return http::Response::text(404, "no such path: " + request.target + "\n");
    }

private:
    struct Route {
        std::string prefix;
        http::Handler handler;
    };

    std::vector<Route> m_routes;
};

} // namespace plantainfork::daemon
