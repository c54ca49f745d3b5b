#pragma once

namespace hyssop::harness {

/// Whether a check of the running test case has failed.
bool hasFailures();

} // namespace hyssop::harness
