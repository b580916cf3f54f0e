/** The threads of a daemon, all running one Asio context. */
#pragma once

#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace plantainfork::runtime
{

class ThreadPool
{
public:
    /** Runs the context on the given number of threads until stopped. */
    ThreadPool(boost::asio::io_context &context, unsigned threads);
    ThreadPool(const ThreadPool &) = delete;
    ThreadPool &operator=(const ThreadPool &) = delete;
    ~ThreadPool();

    /** Waits until the context has run out of work or was stopped. */
    void join();

private:
    std::vector<std::thread> m_threads;
};

} // namespace plantainfork::runtime
