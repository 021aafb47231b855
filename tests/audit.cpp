// What no exchange shows of the audit: every single byte changed is found, and every cut is told from a
// change.
#include <sstream>
#include <string>

#include "audit/chain.h"

#undef NDEBUG
#include <cassert>

using namespace ochrehub::audit;

namespace {

Finding verified(const std::string& text) {
    std::istringstream in(text);
    return verify(in);
}

}  // namespace

int main() {
    Chain chain;
    std::string text = chain.next(1718000000101, "start", "the desk", "file rev 1, pid 7") + "\n";
    text += chain.next(1718000000123, "reload", "SIGHUP", "refused: \"a\\b\"\n\x01") + "\n";
    assert(text.find("by=the\\x20desk ") != text.npos);
    assert(text.find("detail=\"refused: \\\"a\\\\b\\\"\\x0a\\x01\" prev=") != text.npos);
    std::size_t last = text.size();
    text += chain.next(1718000000999, "stop", "", std::string(5000, 'x')) + "\n";
    assert(text.size() - last < 1400 && text.find(" by=- ") != text.npos);
    assert(verified(text).lines == 3 && verified(text).broken == 0 && verified("").broken == 0);

    for (std::size_t i = 0; i < text.size(); ++i)
        for (char other : {'0', 'f', 'x', ' ', '"', '\\', '\n'}) {
            if (text[i] == other) continue;
            std::string changed = text;
            changed[i] = other;
            Finding found = verified(changed);
            assert(found.broken > 0 && found.what.starts_with("tampered: "));
        }
    for (std::size_t size = last + 1; size + 1 < text.size(); ++size) {
        Finding found = verified(text.substr(0, size));
        assert(found.broken == 3 && found.what.starts_with("truncated: "));
        Chain next;
        std::string gone_on = text.substr(0, size) + "\n" + next.next(1, "start", "a", "");
        assert(verified(gone_on).broken == 3 && verified(gone_on).what.starts_with("truncated: "));
    }
    // A line cut short by hand in the middle was not cut off by the end of its writer.
    assert(verified(text.substr(0, last - 9) + "\n" + text.substr(last)).what.starts_with("tampered: "));
    assert(verified(text.substr(last)).broken == 1);  // a chain begins with its start
}
