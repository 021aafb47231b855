#include "lab/referee/referee.h"

namespace ochrehub::lab {

const char* name_of(Rule rule) {
    switch (rule) {
        case Rule::AnswerMissing:
            return "answer-missing";
        case Rule::AnswerTwice:
            return "answer-twice";
        case Rule::AnswerLate:
            return "answer-late";
        case Rule::AnswerInvented:
            return "answer-invented";
        case Rule::CopyConcurrent:
            return "copy-concurrent";
        case Rule::EffectTwice:
            return "effect-twice";
        case Rule::RepeatElsewhere:
            return "repeat-elsewhere";
        case Rule::RepeatLate:
            return "repeat-late";
        case Rule::RefusedAfterRun:
            return "refused-after-run";
        case Rule::SentDraining:
            return "sent-draining";
        case Rule::SentGone:
            return "sent-gone";
        case Rule::SentUnlisted:
            return "sent-unlisted";
        case Rule::ColdPushed:
            return "cold-pushed";
        case Rule::IdInvented:
            return "id-invented";
        case Rule::kRules:
            break;
    }
    return "none";
}

int number_of(Rule rule) {
    switch (rule) {
        case Rule::AnswerMissing:
        case Rule::AnswerTwice:
        case Rule::AnswerLate:
        case Rule::AnswerInvented:
            return 1;
        case Rule::CopyConcurrent:
        case Rule::EffectTwice:
        case Rule::RepeatElsewhere:
        case Rule::RepeatLate:
        case Rule::RefusedAfterRun:
            return 2;
        case Rule::SentDraining:
        case Rule::SentGone:
            return 3;
        case Rule::ColdPushed:
            return 4;
        case Rule::SentUnlisted:
        case Rule::IdInvented:
        case Rule::kRules:
            break;
    }
    return 0;
}

}  // namespace ochrehub::lab
