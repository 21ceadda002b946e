//! Reads the keys below `bounds`: the limits of the deployment's guarantees.

use crate::settings::Bounds;
use crate::settings_lines::SettingsLines;

/// Default of each bound. The defaults are strict, so that the guarantees also hold for the usual, looser values.
const DEFAULT_BOUNDS: Bounds = Bounds {
    seed_lag_ms: 3_000,
    reuse_after_ms: 1_000,
    contact_ms: 3_000,
    acknowledge_ms: 3_000,
    catch_up_ms: 4_000,
    drain_ms: 2_000,
    grace_ms: 5_000,
    loss_slack_ms: 100,
    configuration_ms: 2_000,
    rollback_slack_ms: 200,
    outer_bound_ms: 5_000,
    retry_budget_ratio: 0.1,
    budget_window_ms: 10_000,
    retry_budget_slack: 10.0,
    recovery_ms: 10_000,
    transit_ms: 100,
    repeated_prefill_window_ms: 10_000,
    fenced: false,
    lease_ms: 3_000,
    thaw_ms: 300,
};

/// Reads the keys below `bounds`.
pub fn bounds(lines: &mut SettingsLines<'_>) -> Option<Bounds> {
    let default = DEFAULT_BOUNDS;
    let seed_lag_ms = lines.seconds_as_ms("bounds.seedLagS", default.seed_lag_ms);
    let reuse_after_ms = lines.seconds_as_ms("bounds.reuseAfterS", default.reuse_after_ms);
    let contact_ms = lines.ms("bounds.contactMs", default.contact_ms);
    let acknowledge_ms = lines.ms("bounds.acknowledgeMs", default.acknowledge_ms);
    let catch_up_ms = lines.seconds_as_ms("bounds.catchUpS", default.catch_up_ms);
    let drain_ms = lines.ms("bounds.drainMs", default.drain_ms);
    let grace_ms = lines.seconds_as_ms("bounds.graceS", default.grace_ms);
    let loss_slack_ms = lines.ms("bounds.lossSlackMs", default.loss_slack_ms);
    let configuration_ms = lines.ms("bounds.configurationMs", default.configuration_ms);
    let rollback_slack_ms = lines.ms("bounds.rollbackSlackMs", default.rollback_slack_ms);
    let outer_bound_ms = lines.ms("bounds.outerBoundMs", default.outer_bound_ms);
    let retry_budget_ratio = lines.number("bounds.retryBudgetRatio", default.retry_budget_ratio);
    let budget_window_ms = lines.seconds_as_ms("bounds.budgetWindowS", default.budget_window_ms);
    let retry_budget_slack = lines.number("bounds.retryBudgetSlack", default.retry_budget_slack);
    let recovery_ms = lines.seconds_as_ms("bounds.recoveryS", default.recovery_ms);
    let transit_ms = lines.ms("bounds.transitMs", default.transit_ms);
    let repeated_prefill_window_ms =
        lines.seconds_as_ms("bounds.again_s", default.repeated_prefill_window_ms);
    let fenced = lines.value_or("bounds.fenced", "true or false", default.fenced);
    let lease_ms = lines.ms("bounds.leaseMs", default.lease_ms);
    let thaw_ms = lines.ms("bounds.thawMs", default.thaw_ms);
    Some(Bounds {
        seed_lag_ms: seed_lag_ms?,
        reuse_after_ms: reuse_after_ms?,
        contact_ms: contact_ms?,
        acknowledge_ms: acknowledge_ms?,
        catch_up_ms: catch_up_ms?,
        drain_ms: drain_ms?,
        grace_ms: grace_ms?,
        loss_slack_ms: loss_slack_ms?,
        configuration_ms: configuration_ms?,
        rollback_slack_ms: rollback_slack_ms?,
        outer_bound_ms: outer_bound_ms?,
        retry_budget_ratio: retry_budget_ratio?,
        budget_window_ms: budget_window_ms?,
        retry_budget_slack: retry_budget_slack?,
        recovery_ms: recovery_ms?,
        transit_ms: transit_ms?,
        repeated_prefill_window_ms: repeated_prefill_window_ms?,
        fenced: fenced?,
        lease_ms: lease_ms?,
        thaw_ms: thaw_ms?,
    })
}
