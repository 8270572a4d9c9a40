/// The checks that `all_checks` lists.
#pragma once

#include "tests/soak/checks.hpp"

namespace jasminepier::tests::soak
{

violations check_responses(history const& recorded);
violations check_single_executions(history const& recorded);
violations check_rejections(history const& recorded);
violations check_handovers(history const& recorded);
violations check_attempts(history const& recorded);
violations check_retry_budget(history const& recorded);
violations check_disconnects(history const& recorded);
violations check_leaving_servers(history const& recorded);
violations check_evacuations(history const& recorded);
violations check_configuration(history const& recorded);
violations check_downgrades(history const& recorded);
violations check_cold_servers(history const& recorded);
violations check_timeouts(history const& recorded);
violations check_shutdowns(history const& recorded);
violations check_unanswered_requests(history const& recorded);
violations check_forwarding(history const& recorded);
violations check_deadly_parts(history const& recorded);
violations check_sound_prompts(history const& recorded);

} // namespace jasminepier::tests::soak
