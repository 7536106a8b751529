//! The part of a service that one host schedules.

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::DcName;
use chicoryrail_core::ServiceName;

/// The part of a service that one host schedules, among others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub(crate) struct PartName {
    pub(crate) service: ServiceName,
    /// Data centre of its servers; `None` where the service is not divided, or keyed.
    pub(crate) dc: Option<DcName>,
}

impl PartName {
    /// Names all of a service.
    pub(crate) fn whole(service: &ServiceName) -> Self {
        Self {
            service: service.clone(),
            dc: None,
        }
    }

    /// Tells whether the servers of a data centre belong to it.
    pub(crate) fn has(&self, dc: &DcName) -> bool {
        self.dc.as_ref().is_none_or(|own| own == dc)
    }
}

/// Free slots of a part, for the other parts' overflow.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct PartRoom {
    pub(crate) part: PartName,
    pub(crate) free: u32,
}
