#include "figures/lines.h"

#include <array>
#include <charconv>

namespace ochrehub::figures {
namespace {

void append_number(std::string& out, std::uint64_t value) {
    std::array<char, 20> digits;
    out.append(digits.data(), std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr);
}

}  // namespace

std::string tag_value(Format format, std::string_view name) {
    // StatsD has no escapes, so what separates there is replaced. Influx has a backslash for them, but none
    // for a backslash itself, which at the end of a value would take the separator in.
    bool influx = format == Format::Influx;
    std::string_view replaced = influx ? "\\" : ",|:#\\", escaped = influx ? ",= " : "";
    std::string out;
    for (unsigned char c : name) {
        bool control = c < 0x20 || c == 0x7f;
        if (escaped.find(char(c)) != std::string_view::npos) out += '\\';
        out += control || replaced.find(char(c)) != std::string_view::npos ? '_' : char(c);
    }
    return out.empty() ? "_" : out;
}

void append_line(std::string& out, Format format, const Figure& figure, std::uint64_t unix_ns) {
    bool influx = format == Format::Influx;
    std::string_view is = influx ? "=" : ":";
    auto tags = [&](std::string_view first) {
        if (figure.class_name.empty()) return;
        out.append(first).append("class").append(is).append(figure.class_name);
        out.append(",tenant").append(is).append(figure.tenant);
        if (figure.code == 0) return;
        out.append(",code").append(is);
        append_number(out, std::uint64_t(figure.code));
    };
    out.append(figure.name);
    if (influx) {
        tags(",");
        out.append(" value=");
        append_number(out, figure.value);
        out.append("i ");
        append_number(out, unix_ns);
    } else {
        out.append(":");
        append_number(out, figure.value);
        out.append(figure.kind == Kind::Counter ? "|c" : figure.kind == Kind::Timer ? "|ms" : "|g");
        tags("|#");
    }
    out.append("\n");
}

}  // namespace ochrehub::figures
