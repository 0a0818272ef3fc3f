#pragma once

// Explains how an instance forwards a flow, based on the instance's pages.

#include <string>

namespace hornbeam {

/** The explanation of a flow as text and as JSON. `problem` is empty on success. */
struct FlowExplanation
{
    std::string text;
    std::string json;
    std::string problem;
};

/** Explains a flow, identified as in the logs ("caller>service"), from the pages /flows, /targets and /routes of an instance. Thread safe. */
FlowExplanation explainFlow(const std::string &flow, const std::string &flowsPage, const std::string &targetsPage, const std::string &routesPage);

} // namespace hornbeam
