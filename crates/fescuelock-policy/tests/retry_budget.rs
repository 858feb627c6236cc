//! Extra sends of all nodes together stay within the fleet's limit.

use fescuelock_policy::retry_budget::{RetryBudget, RetryLimit, RetryPurpose};
use proptest::prelude::*;

const LIMIT: RetryLimit = RetryLimit { ratio: 0.9, allowance: 56.0, window_ms: 10_000 };

proptest! {
    /// Worst-case retries: every request takes as many extra sends as the budget allows.
    #[test]
    fn fleet_keeps_limit(
        nodes in 1_usize..12,
        gaps_ms in prop::collection::vec(1_u64..200, 200..400),
    ) {
        let mut budgets = vec![RetryBudget::default(); nodes];
        let (mut requests, mut extras) = (Vec::new(), Vec::new());
        let mut now_ms = 0;
        for (index, gap_ms) in gaps_ms.into_iter().enumerate() {
            now_ms += gap_ms;
            let budget = &mut budgets[index % nodes];
            budget.record_request(now_ms);
            requests.push(now_ms);
            while budget.try_acquire(RetryPurpose::Recovery, &LIMIT, nodes, now_ms) {
                extras.push(now_ms);
            }
        }
        let within = |events: &[u64], to_ms: u64| {
            let from_ms = to_ms.saturating_sub(LIMIT.window_ms);
            events.iter().filter(|&&at| at > from_ms && at <= to_ms).count() as f64
        };
        for &to_ms in &extras {
            let allowed = LIMIT.ratio * within(&requests, to_ms) + LIMIT.allowance;
            prop_assert!(within(&extras, to_ms) <= allowed);
        }
    }
}

#[test]
fn recovery_reserve() {
    let mut budget = RetryBudget::default();
    for _ in 0..100 {
        budget.record_request(0);
    }
    let limit = RetryLimit { allowance: 0.0, ..LIMIT };
    while budget.try_acquire(RetryPurpose::Escalation, &limit, 8, 10) {}
    assert!(budget.try_acquire(RetryPurpose::Recovery, &limit, 8, 10));
}

#[test]
fn budget_expiry() {
    let mut budget = RetryBudget::default();
    for _ in 0..10 {
        budget.record_request(0);
    }
    let limit = RetryLimit { allowance: 0.0, ..LIMIT };
    while budget.try_acquire(RetryPurpose::Recovery, &limit, 8, 10) {}
    budget.record_request(20_000);
    budget.record_request(20_000);
    assert!(budget.try_acquire(RetryPurpose::Recovery, &limit, 8, 20_001));
}
