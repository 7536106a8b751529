//! Quota tokens of a host that is killed and starts again under its name and address.

use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_core::QuotaLimit;
use chicoryrail_policy::PoolParams;
use chicoryrail_policy::QuotaPool;
use chicoryrail_policy::QuotaShare;
use chicoryrail_policy::QuotaTolerance;
use chicoryrail_policy::ShareParams;

const LIMIT: QuotaLimit = QuotaLimit {
    rate: 100.0,
    burst: 100.0,
};
const TOLERANCE: QuotaTolerance = QuotaTolerance {
    ratio: 0.1,
    slack: 20.0,
    window: Millis(5_000),
};
const SCHEDULERS: usize = 8;
const SHARE: ShareParams = ShareParams {
    limit: LIMIT,
    schedulers: SCHEDULERS,
    standalone: false,
    tolerance: TOLERANCE,
};
const POOL: PoolParams = PoolParams {
    term: 1,
    limit: LIMIT,
    tolerance: TOLERANCE,
    schedulers: SCHEDULERS,
    connected_fraction: 1.0,
};

/// Takes tokens until none is left; returns their number.
fn take_all(share: &mut QuotaShare, now: Millis) -> usize {
    (0..10_000)
        .take_while(|_| share.try_take(now, &SHARE).is_ok())
        .count()
}

/// Guards against a host that takes the leader's reply to its former process for its own: the reply states all tokens
/// that the former process was granted, and these would be spent again.
#[test]
fn a_reply_to_the_former_process_grants_no_tokens() {
    let host = HostName::new("host");
    let mut pool = QuotaPool::new(Millis::ZERO);
    let mut former = QuotaShare::new(1);
    let mut late = None;
    for ms in (6_000..20_000).step_by(100) {
        let now = Millis(ms);
        take_all(&mut former, now);
        let grant = pool.report(now, &host, former.report(now, &SHARE), &POOL);
        former.apply_grant(1, grant);
        late = Some(grant);
    }
    let now = Millis(20_100);
    let without_reply = take_all(&mut QuotaShare::new(2), now);
    let mut restarted = QuotaShare::new(2);
    restarted.apply_grant(1, late.unwrap());
    assert_eq!(take_all(&mut restarted, now), without_reply);
    let grant = pool.report(now, &host, restarted.report(now, &SHARE), &POOL);
    restarted.apply_grant(2, grant);
    let granted = take_all(&mut restarted, now);
    assert!(granted <= LIMIT.burst as usize, "{granted} tokens");
}
