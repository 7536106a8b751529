//! A worker thread that injects one fault after another.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::chaos::FaultRecord;
use crate::chaos::context::RunContext;
use crate::chaos::fault::Fault;
use crate::chaos::inject;
use crate::chaos::random_fault::ClusterSize;
use crate::unix_micros;

/// Injects faults until the recovery time at the end of the run, or until the run is stopped.
///
/// The choice of faults depends on the seed only: the time that a fault takes shifts the later faults but
/// does not change them.
pub(crate) fn run_worker(context: &RunContext, seed: u64, size: ClusterSize, kinds: &[String]) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    loop {
        context.sleep(rng.random_range(200..1_500));
        let Some(fault) = Fault::random(&mut rng, size, kinds) else {
            return;
        };
        if context.is_over() {
            return;
        }
        let from = unix_micros();
        log::info!("fault {fault:?}");
        let note = inject::inject(context, &fault).err().unwrap_or_default();
        let record = FaultRecord {
            fault,
            from,
            until: unix_micros(),
            note,
        };
        context.events().faults.push(record);
    }
}
