#include "requests/retrybudget.h"

#include <algorithm>

namespace hornbeam {

RetryBudget::RetryBudget(double ratio, double burst) : ratio(ratio), burst(burst), tokens(burst)
{
}

void RetryBudget::addRequest()
{
    this->tokens = std::min(this->burst, this->tokens + this->ratio);
}

bool RetryBudget::tryConsumeRetry()
{
    if (this->tokens < 1.0) {
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

} // namespace hornbeam
