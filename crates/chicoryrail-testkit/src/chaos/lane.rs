//! A lane: one fault after the other.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::chaos::act;
use crate::chaos::fault::Fault;
use crate::chaos::fault::FaultRecord;
use crate::chaos::fault::Sizes;
use crate::chaos::scene::Scene;
use crate::wall_micros;

/// Makes faults until the wall clock reaches `ends`, in microseconds.
///
/// The draws depend on the seed alone: how long an act takes moves the later faults, not which
/// ones they are.
pub(crate) fn lane(scene: &Scene, seed: u64, sizes: Sizes, only: &[String], ends: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    loop {
        scene.sleep(rng.random_range(200..1_500));
        let Some(fault) = Fault::draw(&mut rng, sizes, only) else {
            return;
        };
        if scene.is_stopped() || wall_micros() >= ends {
            return;
        }
        let from = wall_micros();
        log::info!("fault {fault:?}");
        let note = act::make(scene, &fault).err().unwrap_or_default();
        let record = FaultRecord {
            fault,
            from,
            until: wall_micros(),
            note,
        };
        scene.done().faults.push(record);
    }
}
