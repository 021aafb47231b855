// What operators may switch on, whichever file says so.
#pragma once

#include <string>
#include <vector>

#include "audit/journal.h"
#include "config/line_file.h"
#include "figures/figures.h"
#include "rewrite/rewrites.h"

namespace ochrehub::app {

/// What each feature is told.
struct OperatorSettings {
    rewrite::Rewrites rewrites;
    audit::Told audit;
    figures::Told figures;
};

/// `classes`, those that rules may name, may be null: not known.
inline std::vector<config::Section> operator_sections(OperatorSettings& into,
                                                      const std::vector<std::string>* classes) {
    return {{"rewrites", rewrite::settings(classes), into.rewrites},
            {"audit", audit::settings(), into.audit},
            {"figures", figures::settings(), into.figures}};
}

}  // namespace ochrehub::app
