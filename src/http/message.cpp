#include "http/message.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <cstdio>

namespace ochrehub::http {

bool plain_framing(const HttpMessage& message) {
    std::string_view length = message.header("Content-Length"), coding = message.header("Transfer-Encoding");
    std::size_t lengths = message.count("Content-Length"), codings = message.count("Transfer-Encoding");
    if (lengths + codings > 1) return false;
    if (codings == 1 && !same_name(coding, "chunked")) return false;
    return lengths == 0 || length.find_first_not_of("0123456789") == std::string_view::npos;
}

std::string_view path_of(std::string_view target) {
    if (target.substr(0, 7) == "http://") {  // a whole URL is as good
        target.remove_prefix(7);
        target.remove_prefix(std::min(target.size(), target.find('/')));
    }
    return target.substr(0, target.find('?'));
}

void put_header(std::string& head, std::string_view name, std::string_view value) {
    head.append(name).append(": ").append(value).append("\r\n");
}

std::string request_head(const HttpMessage& request, Duration patience) {
    std::string head;
    head.reserve(512);
    head.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    for (const auto& [name, value] : request.headers)
        if (!hop_by_hop(name)) put_header(head, name, value);
    std::array<char, 32> text;
    std::snprintf(text.data(), text.size(), "%.6f", std::max(0.0, patience.count() / 1000));
    put_header(head, "X-Expires-In", text.data());
    if (request.rest && !request.length) {
        put_header(head, "Transfer-Encoding", "chunked");
        return head += "\r\n";
    }
    std::uint64_t size = request.rest ? *request.length : request.body_view().size();
    if (size > 0 || (request.method != "GET" && request.method != "HEAD"))
        put_header(head, "Content-Length", std::to_string(size));
    return head += "\r\n";
}

std::string answer_head(int status, std::optional<std::uint64_t> length, bool close) {
    namespace beast = boost::beast::http;
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    beast::status known = beast::int_to_status(unsigned(status));
    if (known != beast::status::unknown) head += view(beast::obsolete_reason(known));
    head += "\r\n";
    if (length) put_header(head, "Content-Length", std::to_string(*length));
    if (close) put_header(head, "Connection", "close");
    return head;
}

std::string retry_after_header(Duration delay) {
    if (delay.count() <= 0) return {};
    std::array<char, 48> text;
    std::snprintf(text.data(), text.size(), "Retry-After: %.3f\r\n", delay.count() / 1000);
    return text.data();
}

}  // namespace ochrehub::http
