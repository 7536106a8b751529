//! Order in which a host asks other hosts to pass a request on.

use rand::Rng;

/// Factor by which a host of the same data centre is preferred: a pass through it crosses data centres once at most.
const LOCAL_PREFERENCE: f64 = 4.0;

/// Another host that may pass a request on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ForwarderLoad {
    /// CPU capacity, in thousandths of a core.
    pub power: u32,
    /// Whether it is in the data centre of the asking host.
    pub is_local: bool,
    /// Requests of the asking host that it is passing on.
    pub in_flight: u32,
}

impl ForwarderLoad {
    /// Returns a random value by which hosts are asked, the highest first: a host is first with a probability in
    /// proportion to its power, less with each request that it is passing on.
    ///
    /// All hosts that lost the same path choose among the same others, and the choice must not be the same for all.
    #[must_use]
    pub fn score(&self, rng: &mut impl Rng) -> f64 {
        let preference = if self.is_local { LOCAL_PREFERENCE } else { 1.0 };
        let weight = f64::from(self.power.max(1)) * preference / f64::from(1 + self.in_flight);
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        uniform.ln() / weight
    }
}
