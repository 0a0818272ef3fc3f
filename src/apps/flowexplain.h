#pragma once

// Why a flow goes where it goes, put together from an instance's pages.

#include <string>

namespace hornbeam {

/** What is known of one flow, as text and as JSON, or why nothing is. */
struct FlowExplanation
{
    std::string text;
    std::string json;
    std::string problem;
};

/** Explains a flow, named as the logs name it, by the pages /flows, /targets and /routes of an instance. Thread safe. */
FlowExplanation explainFlow(const std::string &flow, const std::string &flowsPage, const std::string &targetsPage, const std::string &routesPage);

} // namespace hornbeam
