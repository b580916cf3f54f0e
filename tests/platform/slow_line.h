/** Fixture for tests of reads over a slow line: a store, and a client that reaches it over a line of a given rate. */
#pragma once

#include <cstdint>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "metrics/registry.h"
#include "platform/soak/store.h"
#include "platform/store_client.h"
#include "standins/link.h"
#include "standins/program.h"

namespace plantainfork::tests
{

struct SlowLine {
    explicit SlowLine(std::uint64_t bitsPerSecond)
        : store(context.get_executor())
        , server(standins::listen(context,
                                  {"127.0.0.1", 0},
                                  [this](http::Request request) {
                                      return store.answer(std::move(request));
                                  }))
        , link(context, std::chrono::milliseconds(1), bitsPerSecond)
        , line(link.addRoute({"127.0.0.1", 0}, {"127.0.0.1", server->port()}, standins::Heading::There))
        , client(context.get_executor(), {line.host, line.port}, metrics)
    {
    }

    boost::asio::io_context context{1};
    metrics::Registry metrics;
    soak::Store store;
    std::unique_ptr<http::Server> server;
    standins::Link link;
    standins::Endpoint line;
    platform::StoreClient client;
};

} // namespace plantainfork::tests
