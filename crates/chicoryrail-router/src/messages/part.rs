//! Parts of services: the scheduling partitions.

use bincode::Decode;
use bincode::Encode;
use chicoryrail_core::DcName;
use chicoryrail_core::ServiceName;

/// Name of a part: a scheduling partition of a service, whose requests one host schedules. It has all servers of the
/// service, or those of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub(crate) struct PartName {
    pub(crate) service: ServiceName,
    /// Data centre of the part's servers; `None` if the service is keyed or not partitioned.
    pub(crate) dc: Option<DcName>,
}

impl PartName {
    /// Returns the name of the part that has all servers of a service.
    pub(crate) fn unpartitioned(service: &ServiceName) -> Self {
        Self {
            service: service.clone(),
            dc: None,
        }
    }

    /// Returns `true` if the servers of a data centre belong to the part.
    pub(crate) fn contains(&self, dc: &DcName) -> bool {
        self.dc.as_ref().is_none_or(|own| own == dc)
    }
}

/// Number of free slots of a part, to which other parts of the service can redirect requests.
#[derive(Clone, Debug, Encode, Decode)]
pub(crate) struct PartRoom {
    pub(crate) part: PartName,
    pub(crate) free: u32,
}
