//! Which uploads are admitted, and what is read of them before they take a slot.

use chicoryrail_policy::UploadPlan;
use chicoryrail_policy::UploadReading;
use chicoryrail_policy::UploadReading::SlotFirst;
use chicoryrail_policy::UploadReading::Start;
use chicoryrail_policy::UploadReading::Whole;
use rstest::rstest;

const KIB: u64 = 1 << 10;

/// Free memory of a host of 120 MB at rest.
const FREE: u64 = 30_000_000;

/// Guards against an upload that takes a slot although its caller has yet to send a body that fits into memory, and
/// against one that is admitted without the memory for it. Load: one upload at a time; `free` is what the others leave.
#[rstest]
#[case::whole(Whole, Some(60_000), FREE, Some((60_000 + 48 * KIB, 60_000)))]
#[case::longest_whole(Whole, Some(512 * KIB), FREE, Some((560 * KIB, 512 * KIB)))]
#[case::too_long(Whole, Some(512 * KIB + 1), FREE, Some((128 * KIB, 16 * KIB)))]
#[case::undeclared(Whole, None, FREE, Some((128 * KIB, 16 * KIB)))]
#[case::does_not_fit(Whole, Some(512 * KIB), 559 * KIB, Some((128 * KIB, 16 * KIB)))]
#[case::just_streams(Whole, Some(512 * KIB), 128 * KIB, Some((128 * KIB, 16 * KIB)))]
#[case::memory_spent(Whole, Some(512 * KIB), 128 * KIB - 1, None)]
#[case::undeclared_and_spent(Whole, None, 0, None)]
#[case::short_when_spent(Whole, Some(16 * KIB), 0, Some((32 * KIB, 16 * KIB)))]
#[case::empty(Whole, Some(0), 0, Some((0, 0)))]
#[case::start(Start, Some(60_000), FREE, Some((60_000 + 48 * KIB, 16 * KIB)))]
#[case::start_of_long(Start, Some(1 << 20), FREE, Some((128 * KIB, 16 * KIB)))]
#[case::start_spent(Start, Some(60_000), 60_000, None)]
#[case::slot_first(SlotFirst, Some(60_000), FREE, Some((60_000 + 48 * KIB, 0)))]
#[case::slot_first_of_long(SlotFirst, Some(1 << 20), FREE, Some((128 * KIB, 0)))]
#[case::slot_first_spent(SlotFirst, Some(1 << 20), 127 * KIB, None)]
fn upload_is_planned_by_its_length_and_the_free_memory(
    #[case] reading: UploadReading,
    #[case] declared: Option<u64>,
    #[case] free: u64,
    #[case] expected: Option<(u64, u64)>,
) {
    let plan = UploadPlan::new(reading, declared, free);
    assert_eq!(plan.map(|p| (p.held, p.read_first)), expected);
}

/// Guards against a declared length that overflows what an upload may hold.
#[test]
fn longest_declared_length_streams() {
    let plan = UploadPlan::new(Whole, Some(u64::MAX), FREE).unwrap();
    assert_eq!(plan.held, 128 * KIB);
}
