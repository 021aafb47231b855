#include "lab/play/spoilt.h"

#include <fmt/format.h>

#include <random>

#include "lab/play/forms.h"

namespace ochrehub::lab {
namespace {

std::string garbage(std::uint64_t seed, std::size_t size) {
    std::mt19937_64 random(seed);
    std::string bytes(size, '\0');
    for (char& byte : bytes) byte = char(random() >> 13);
    bytes.front() = '\x16';  // as who speaks TLS to a plain port
    return bytes;
}

std::string times(const std::string& text, int count) {
    std::string all;
    for (int i = 0; i < count; ++i) all += text;
    return all;
}

}  // namespace

SpoiltAnswer spoilt_answer(int kind, AttemptNo attempt, const std::string& report_header) {
    std::string body = answer_body(attempt), good = answer_text(200, report_header, body);
    SpoiltAnswer out;
    switch (kind % kSpoiltKinds) {
        case 0:  // noise
            out.bytes = garbage(attempt, 400);
            break;
        case 1:  // truncated: shorter than it says
            out.bytes = good.substr(0, good.size() - body.size() / 2);
            out.closes = true;
            break;
        case 2:  // wrong length: none that says where the body ends
            out.bytes = "HTTP/1.1 200 OK\r\nContent-Length: -7\r\nContent-Length: 12abc\r\n\r\n" + body;
            break;
        case 3:  // endless head
            out.bytes = "HTTP/1.1 200 OK\r\n";
            out.trickle = times("X-More: and-more-and-more-and-more-and-more-and-more\r\n", 40);
            break;
        case 4:  // 3 GB
            out.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" + body;
            out.trickle = std::string(4096, 'x');
            break;
        case 5:  // a second copy behind a good answer
            out.bytes = good + good;
            out.good = true;
            break;
        case 6:  // a report that cannot be read
            out.bytes = answer_text(200, "Endpoint-Load-Metrics: TEXT queue=many,,=7;latency_ms\r\n", body);
            out.good = true;
            break;
        default:  // interim answers ahead
            out.bytes =
                "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a.css>\r\n\r\n" + good;
            out.good = true;
    }
    return out;
}

Noise noise(int kind, std::uint64_t salt, const std::string& class_name) {
    std::string id = hex16(kHostileIds | (salt & 0xffffffff));
    std::string path = fmt::format("GET /{}/{} HTTP/1.1\r\nHost: app.svc\r\n", class_name, id);
    std::string trace = "X-Trace-Id: " + id + "\r\n";
    std::string unknown = "GET /no-such-class/" + id + " HTTP/1.1\r\nHost: app.svc\r\n" + trace + "\r\n";
    Noise out;
    switch (kind % kNoiseKinds) {
        case 0:
            out.bytes = garbage(salt, 600);
            break;
        case 1:  // endless head
            out.bytes =
                path + trace + times("X-More: and-more-and-more-and-more-and-more-and-more\r\n", 2000);
            break;
        case 2:
            out.bytes = path + trace + "Content-Length: twelve\r\n\r\nhello, world";
            break;
        case 3:
            out.bytes = path + trace + "Content-Length: -1\r\n\r\n";
            break;
        case 4:
            out.bytes = path + trace + "Content-Length: 99999999999999999999999\r\n\r\n";
            break;
        case 5:  // 60 MB, of which a quarter of a MB comes
            out.bytes = "POST /" + class_name + "/" + id + " HTTP/1.1\r\nHost: app.svc\r\n" + trace +
                        "Content-Length: 62914560\r\n\r\n" + std::string(std::size_t{256} * 1024, 'b');
            break;
        case 6:
            out.bytes = unknown;
            break;
        case 7:
            out.bytes = path + trace + "X-Expires-In: soon\r\n\r\n";
            break;
        case 8:  // no id
            out.bytes = path + "X-Expires-In: 0.5\r\n\r\n";
            break;
        case 9:  // two ids
            out.bytes = path + trace + trace + "X-Expires-In: 0.5\r\n\r\n";
            break;
        case 10:  // half a request, then a close
            out.bytes = path + "X-Trace-";
            out.closes = true;
            break;
        case 11:  // hundreds at once
            out.bytes = times(unknown, 400);
            break;
        default:  // the same again at once
            out.bytes = unknown;
            out.repeats = true;
    }
    return out;
}

}  // namespace ochrehub::lab
