#include "admin/calls.h"

#include <charconv>
#include <optional>

namespace ochrehub::admin {
namespace {

constexpr std::string_view kDown = "/ops/servers/down/", kUp = "/ops/servers/up/";

/// Nothing where what stands behind a percent sign is not two hexadecimal digits.
std::optional<std::string> decoded(std::string_view text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            out += text[i];
            continue;
        }
        unsigned byte = 0;
        if (i + 2 >= text.size()) return std::nullopt;
        auto [end, bad] = std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, 16);
        if (bad != std::errc{} || end != text.data() + i + 3) return std::nullopt;
        out += char(byte);
        i += 2;
    }
    return out;
}

Answer no(int status, std::string why) {
    return {status, std::move(why) + "\n", {}, false};
}

Answer wrong_method(std::string_view right) {
    return {405, "use " + std::string(right) + "\n", std::string(right), false};
}

Answer by_hand(const Node& node, std::string_view method, std::string_view text, bool out) {
    if (method != "PUT") return wrong_method("PUT");
    std::optional<std::string> id = decoded(text);
    if (!id) return no(400, "the id cannot be read");
    if (id->empty() || !node.by_hand(*id, out)) return no(404, "no server has this id");
    return {200, out ? "out\n" : "in use\n", {}, false};
}

}  // namespace

Answer answer(const Node& node, std::string_view method, std::string_view target) {
    std::string_view path = target.substr(0, target.find('?'));
    if (path == "/ops/readiness") {
        if (method != "GET") return wrong_method("GET");
        return node.ready() ? Answer{200, "ready\n", {}, false} : no(503, "not ready");
    }
    if (path == "/ops/stats") {
        if (method != "GET") return wrong_method("GET");
        return {200, node.stats(), {}, true};
    }
    if (path == "/ops/members" && node.members) {
        if (method != "GET") return wrong_method("GET");
        return {200, node.members(), {}, false, true};
    }
    if (path.starts_with(kDown)) return by_hand(node, method, path.substr(kDown.size()), true);
    if (path.starts_with(kUp)) return by_hand(node, method, path.substr(kUp.size()), false);
    return no(404, "no such call");
}

}  // namespace ochrehub::admin
