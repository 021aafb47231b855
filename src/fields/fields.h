// Names of header fields, a head's fields in the order they came, and which of them concern one connection
// alone.
#pragma once

#include <boost/beast/core/string.hpp>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <initializer_list>
#include <iterator>
#include <string>
#include <string_view>
#include <utility>

namespace ochrehub {

inline bool same_name(std::string_view a, std::string_view b) {
    return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

/// The fields of a head in one block, each as two lengths, its name and its value: a head of thousands of
/// short fields takes little more than its own bytes. Views into it hold until it is changed.
class Headers {
public:
    using Field = std::pair<std::string_view, std::string_view>;  ///< name and value

    class Iterator {
    public:
        using iterator_category = std::input_iterator_tag;
        using value_type = Field;
        using difference_type = std::ptrdiff_t;
        using pointer = const Field*;
        using reference = Field;

        Iterator() = default;
        explicit Iterator(const char* at) : at_(at) {}
        Field operator*() const {
            const Lengths lengths = lengths_at(at_);
            const char* name = at_ + kLengthsBytes;
            return {{name, lengths.name}, {name + lengths.name, lengths.value}};
        }
        Iterator& operator++() {
            const Lengths lengths = lengths_at(at_);
            at_ += kLengthsBytes + lengths.name + lengths.value;
            return *this;
        }
        Iterator operator++(int) {
            Iterator before = *this;
            ++*this;
            return before;
        }
        bool operator==(const Iterator& other) const = default;

    private:
        const char* at_ = nullptr;
    };

    Headers() = default;
    Headers(std::initializer_list<Field> fields) {
        for (const auto& [name, value] : fields) add(name, value);
    }

    Iterator begin() const { return Iterator(block_.data()); }
    Iterator end() const { return Iterator(block_.data() + block_.size()); }
    std::size_t size() const { return std::size_t(std::distance(begin(), end())); }
    /// What it occupies.
    std::size_t bytes() const { return block_.capacity(); }

    void add(std::string_view name, std::string_view value) {
        const Lengths lengths{std::uint16_t(name.size()), std::uint32_t(value.size())};
        char raw[kLengthsBytes];
        std::memcpy(raw, &lengths.name, sizeof lengths.name);
        std::memcpy(raw + sizeof lengths.name, &lengths.value, sizeof lengths.value);
        block_.append(raw, sizeof raw).append(name).append(value);
    }
    /// Drops the fields for which `goes(field)` holds.
    template <class Goes>
    void erase_if(Goes goes) {
        rebuild([&](const Field& field, Headers& kept) {
            if (!goes(field)) kept.add(field.first, field.second);
        });
    }
    /// Made anew: `copy(field, made)` is called for each field and adds to `made` what there is to be of it.
    template <class Copy>
    void rebuild(Copy copy) {
        Headers made;
        made.block_.reserve(block_.size());
        for (const Field& field : *this) copy(field, made);
        *this = std::move(made);
    }
    /// Gives back what it does not need.
    void shrink_to_fit() { block_.shrink_to_fit(); }

private:
    struct Lengths {
        std::uint16_t name = 0;
        std::uint32_t value = 0;
    };
    static constexpr std::size_t kLengthsBytes = sizeof(std::uint16_t) + sizeof(std::uint32_t);

    static Lengths lengths_at(const char* at) {
        Lengths lengths;
        std::memcpy(&lengths.name, at, sizeof lengths.name);
        std::memcpy(&lengths.value, at + sizeof lengths.name, sizeof lengths.value);
        return lengths;
    }

    std::string block_;
};

/// True for what concerns one connection alone, or is set anew on each: not passed on.
bool hop_by_hop(std::string_view name);

}  // namespace ochrehub
