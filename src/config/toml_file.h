// The TOML file of a process, read by tables of settings: one section a TOML table, a list an array of
// tables.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/table.h"

namespace ochrehub::config {

class TomlFile {
public:
    struct Value {
        std::string name;   ///< as in `class[0].aim_ms`
        std::string value;  ///< as TOML has it; empty: there is none
        Place at;           ///< nowhere: it is the default
    };

    explicit TomlFile(std::string path) : path_(std::move(path)) {}

    /// Reads all of it into what the sections are bound to, in their order, and collects its faults.
    void read(const std::vector<Section>& sections);

    /// It is TOML: what its sections say is known, though it may be wrong.
    bool readable() const { return readable_; }
    /// Adds what no table can say: what is wrong with `key`, or what it lacks.
    void wrong(const std::string& key, const std::string& what);
    /// Where a key, or else the section that it would be in, stands.
    Place place_of(const std::string& key) const;
    bool has(const std::string& key) const { return places_.contains(key); }
    /// `file:line:column: key: what`.
    std::string worded(const std::string& key, const std::string& what) const;

    /// In the order of the file.
    std::vector<std::string> faults() const;
    /// All that are in force, in the tables' order. Means nothing while there are faults of syntax.
    const std::vector<Value>& values() const { return values_; }
    const std::string& path() const { return path_; }

private:
    struct Fault {
        Place at;
        std::string line;
    };
    class Reading;

    std::string path_;
    std::vector<Fault> faults_;
    std::vector<Value> values_;
    std::map<std::string, Place> places_;
    bool readable_ = false;
};

/// A value as TOML would have it.
std::string as_toml(const Described& setting, std::string_view value);

}  // namespace ochrehub::config
