#include "http/body_stream.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace ochrehub::http {

std::size_t BodyStream::put(std::string_view bytes) {
    if (state_ != State::Open) return bytes.size();  // nobody wants it: read on for the end of the message
    if (!buffer_) buffer_ = pool_.take_for_stream();
    std::size_t taken = buffer_.append(bytes);
    if (taken > 0) tell(on_data_);
    return taken;
}

void BodyStream::drop(std::size_t bytes) {
    if (bytes == 0) return;
    spent_ = true;
    buffer_.drop_front(bytes);
    if (buffer_.view().empty()) buffer_.release();
    tell(on_room_);
}

void BodyStream::close(State how) {
    if (state_ != State::Open) return;
    state_ = how;
    on_room_ = on_abandoned_ = nullptr;
    tell(on_data_);
}

void BodyStream::abandon() {
    if (state_ == State::Open) {
        tell(on_abandoned_);
        tell(on_room_);
        state_ = State::Abandoned;
    }
    buffer_.release();
    on_data_ = nullptr;
}

void BodyStream::tell(Wake& wake) {
    if (wake) boost::asio::post(io_, std::exchange(wake, nullptr));
}

}  // namespace ochrehub::http
