#include "runtime/thread_pool.h"

namespace plantainfork::runtime
{

ThreadPool::ThreadPool(boost::asio::io_context &context, unsigned threads)
{
    for (unsigned i = 0; i < threads; ++i) {
        m_threads.emplace_back([&context] {
            context.run();
        });
    }
}

ThreadPool::~ThreadPool()
{
    join();
}

void ThreadPool::join()
{
    for (auto &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

} // namespace plantainfork::runtime
