/** The relay as a program of its own, steered by its control address. */
#include <utility>

#include "standins/link.h"

namespace asio = boost::asio;
using namespace plantainfork;
using namespace plantainfork::standins;

namespace
{

constexpr auto Usage = R"(TCP relay between addresses.

Usage: standin-link [--control=ADDRESS] [--delay=MS] [--rate=BITS] [ROUTE]

A ROUTE is LISTEN/TO, each an address HOST:PORT; port 0 takes a free one. Others are added by the control.

Options:
  --control=ADDRESS  Address of the control [default: 127.0.0.1:0].
  --delay=MS         One-way delay [default: 0].
  --rate=BITS        Bits a second each way, shared by all routes; 0 is unlimited [default: 0].
)";

asio::awaitable<http::Response> answerControl(Link &link, http::Request request)
{
    if (request.method == "PUT") {
        const Json wanted = Json::parse(request.body);
        link.setDelay(std::chrono::milliseconds(wanted.value("delayMs", link.delay().count())));
        link.setRate(wanted.value("rateBits", link.rate()));
        link.setCut(wanted.value("cut", link.isCut()));
        if (wanted.value("swallow", false)) {
            link.swallow();
        }
        if (wanted.contains("to")) {
            const auto heading = wanted.value("back", false) ? Heading::Back : Heading::There;
            const auto taken = link.addRoute(Endpoint::parse(wanted.value("listen", "127.0.0.1:0")), Endpoint::parse(wanted.at("to")), heading);
            co_return answer({{"listening", taken.text()}});
        }
    }
    co_return answer({{"connections", link.connections()}, {"bytesThere", link.bytesThere()}, {"bytesBack", link.bytesBack()}, {"cut", link.isCut()}});
}

} // namespace

int main(int argc, char **argv)
{
    auto options = parseOptions(Usage, argc, argv);
    asio::io_context context(1);
    Link link(context, std::chrono::milliseconds(std::stol(options["--delay"])), std::stoull(options["--rate"]));
    const auto control = listen(context, Endpoint::parse(options["--control"]), [&link](http::Request request) {
        return answerControl(link, std::move(request));
    });
    std::string line;
    if (const std::string route = options["ROUTE"]; !route.empty()) {
        const auto slash = route.find('/');
        line = "listening " + link.addRoute(Endpoint::parse(route.substr(0, slash)), Endpoint::parse(route.substr(slash + 1)), Heading::There).text() + " ";
    }
    return serve(context, line + "control 127.0.0.1:" + std::to_string(control->port()), []() -> asio::awaitable<int> {
        co_return 0;
    });
}
