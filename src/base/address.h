// "a.b.c.d:port" as an endpoint. There is no DNS.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <charconv>
#include <optional>
#include <string>
#include <string_view>

namespace ochrehub {

inline std::optional<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text) {
    std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    std::string_view digits = text.substr(colon + 1);
    unsigned short port = 0;
    auto [end, bad_port] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (bad_port != std::errc{} || end != digits.data() + digits.size()) return std::nullopt;
    boost::system::error_code error;
    auto host = boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
    if (error) return std::nullopt;
    return boost::asio::ip::tcp::endpoint(host, port);
}

}  // namespace ochrehub
