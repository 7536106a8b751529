//! A free service as this gate serves it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use chicoryrail_core::HostName;
use chicoryrail_core::Millis;
use chicoryrail_policy::Choice;
use chicoryrail_policy::Hedge;
use chicoryrail_policy::Load;
use chicoryrail_policy::PeerId;
use chicoryrail_policy::Picker;
use chicoryrail_runtime::Process;
use http::HeaderValue;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::lane::Lane;
use crate::shard::Shard;
use crate::shard::Via;

/// The queue of the servers that the gate holds, the other gates that hold some, and the budget of
/// second tries; it outlives a change of configuration.
#[derive(Debug)]
pub(crate) struct Free {
    pub(crate) lane: Rc<Lane>,
    pub(crate) hedge: RefCell<Hedge>,
    picker: RefCell<Picker>,
    rng: RefCell<SmallRng>,
    hosts: RefCell<HashMap<HostName, PeerId>>,
    peers: RefCell<Vec<(PeerId, HostName)>>,
}

/// Where a request of a free service goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// To a server whose slots this gate holds.
    Own,
    /// Through another gate.
    Gate(PeerId, HostName),
}

impl Place {
    const fn choice(&self) -> Choice {
        match self {
            Self::Own => Choice::Own,
            Self::Gate(id, _) => Choice::Peer(*id),
        }
    }
}

impl Free {
    /// Builds a service without servers.
    pub(crate) fn new(process: &Process) -> Rc<Self> {
        Rc::new(Self {
            lane: Lane::new(process),
            hedge: RefCell::default(),
            picker: RefCell::default(),
            rng: RefCell::new(SmallRng::from_os_rng()),
            hosts: RefCell::default(),
            peers: RefCell::default(),
        })
    }

    /// Takes in which other gates hold servers that take work under valid routes.
    pub(crate) fn set_peers(&self, shards: &[Rc<Shard>], now: Millis) {
        let mut hosts = self.hosts.borrow_mut();
        let mut peers = Vec::new();
        for table in shards.iter().filter_map(|s| s.routes(now)) {
            for route in table.routes.iter().filter(|r| r.takes_work()) {
                let Via::Gate(host) = &route.via else {
                    continue;
                };
                let next = PeerId(hosts.len() as u32);
                let id = *hosts.entry(host.clone()).or_insert(next);
                if !peers.iter().any(|(p, _)| *p == id) {
                    peers.push((id, host.clone()));
                }
            }
        }
        *self.peers.borrow_mut() = peers;
    }

    /// Chooses where a request goes, not through the gates of `avoid`.
    pub(crate) fn pick(&self, now: Millis, avoid: &[PeerId]) -> Option<Place> {
        let peers = self.ids(avoid);
        let own = self.lane.load();
        let mut rng = self.rng.borrow_mut();
        let choice = self.picker.borrow().pick(now, &mut *rng, own, &peers)?;
        self.place(choice)
    }

    /// Chooses where a second try goes, not through the gates of `avoid`.
    pub(crate) fn pick_hedge(&self, now: Millis, first: &Place, avoid: &[PeerId]) -> Option<Place> {
        let peers = self.ids(avoid);
        let own = self.lane.load();
        let mut rng = self.rng.borrow_mut();
        let picker = self.picker.borrow();
        let choice = picker.pick_free(now, &mut *rng, own, &peers, first.choice())?;
        self.place(choice)
    }

    /// Takes in the load that came with another gate's request.
    pub(crate) fn heard_from(&self, now: Millis, host: &HostName, load: Load) {
        let id = self.hosts.borrow().get(host).copied();
        if let Some(id) = id {
            self.heard(now, id, load);
        }
    }

    /// Takes in that a request goes through another gate.
    pub(crate) fn sent(&self, peer: PeerId) {
        self.picker.borrow_mut().sent(peer);
    }

    /// Takes in the load that came with another gate's answer.
    pub(crate) fn heard(&self, now: Millis, peer: PeerId, load: Load) {
        self.picker.borrow_mut().heard(now, peer, load);
    }

    fn ids(&self, avoid: &[PeerId]) -> Vec<PeerId> {
        let peers = self.peers.borrow();
        let ids = peers.iter().map(|(id, _)| *id);
        ids.filter(|id| !avoid.contains(id)).collect()
    }

    fn place(&self, choice: Choice) -> Option<Place> {
        match choice {
            Choice::Own => Some(Place::Own),
            Choice::Peer(id) => {
                let peers = self.peers.borrow();
                let (_, host) = peers.iter().find(|(p, _)| *p == id)?;
                Some(Place::Gate(id, host.clone()))
            }
        }
    }
}

/// Writes a load as the value of a header.
pub(crate) fn write_load(load: Load) -> HeaderValue {
    let Load {
        free,
        slots,
        waiting,
        wait_us,
        service_us,
        probe: _,
    } = load;
    let text = format!("{free},{slots},{waiting},{wait_us},{service_us}");
    HeaderValue::try_from(text).expect("digits and commas are a valid header")
}

/// Reads a load from the value of a header.
pub(crate) fn read_load(value: &HeaderValue) -> Option<Load> {
    let mut numbers = value.to_str().ok()?.split(',').map(|n| n.parse().ok());
    let mut next = || numbers.next().flatten();
    Some(Load {
        free: next()?,
        slots: next()?,
        waiting: next()?,
        wait_us: next()?,
        service_us: next()?,
        probe: false,
    })
}
