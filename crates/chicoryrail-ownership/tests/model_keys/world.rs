//! Servers, leaders and the calls between them, step by step.

use chicoryrail_core::Life;
use chicoryrail_core::Millis;
use chicoryrail_core::ServerName;
use chicoryrail_ownership::keys::KeyLeases;
use chicoryrail_ownership::keys::KeyRecord;
use chicoryrail_ownership::keys::KeyTiming;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::calls::Call;
use crate::server::Held;
use crate::server::LOOKS;
use crate::server::Server;
use crate::server::look;

pub(crate) const STEP: u64 = 10;
pub(crate) const LENGTH: u64 = 70_000;

pub(crate) struct Leader {
    pub(crate) leases: KeyLeases,
    /// Until when it acts; it has been replaced by then, or is the latest.
    pub(crate) until: u64,
    pub(crate) revision: u64,
    /// Until when its process stands still: it neither acts nor hears how its calls ended.
    pub(crate) frozen: u64,
    /// Until when the store turns it away, while it serves others.
    pub(crate) turned_away: u64,
}

pub(crate) struct World {
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now: u64,
    /// What the servers are told, and what leaders reckon with.
    pub(crate) granted: KeyTiming,
    pub(crate) reckoned: KeyTiming,
    pub(crate) servers: Vec<Server>,
    pub(crate) leaders: Vec<Leader>,
    pub(crate) calls: Vec<Call>,
    pub(crate) record: KeyRecord,
    pub(crate) revision: u64,
    pub(crate) violations: Vec<String>,
    /// Whether the store is away: no election, no write; every leader knows.
    pub(crate) away: bool,
    /// Until when a leader must reckon with grants for the time of an outage.
    pub(crate) away_until: u64,
    /// Number of the last birth.
    pub(crate) born: u64,
}

/// Tells whether things go wrong at this time: not at first, and not towards the end.
pub(crate) fn disturbed(now: u64) -> bool {
    now > 2_000 && now < LENGTH - 25_000
}

impl World {
    pub(crate) fn new(seed: u64, granted: KeyTiming, reckoned: KeyTiming) -> Self {
        let mut world = Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            granted,
            reckoned,
            servers: Vec::new(),
            leaders: Vec::new(),
            calls: Vec::new(),
            record: KeyRecord::default(),
            revision: 1,
            violations: Vec::new(),
            away: false,
            away_until: 0,
            born: 0,
        };
        for i in 0..4 {
            world.join(&format!("s{i}"));
        }
        world
    }

    pub(crate) fn join(&mut self, name: &str) {
        self.born += 1;
        self.servers.push(Server {
            life: Life::new(ServerName::new(name), self.born),
            up: true,
            leaving: false,
            reachable: true,
            keys: vec![Held::default(); LOOKS],
        });
    }

    /// Replaces the leader. The old one goes on for as long as one may that has not heard of it.
    pub(crate) fn elect(&mut self) {
        if let Some(old) = self.leaders.last_mut() {
            let stale = self.rng.random_range(0..=self.granted.stale_leader.0);
            old.until = self.now + stale;
        }
        let attempt = self.rng.random();
        let now = Millis(self.now);
        let away = self.now < self.away_until;
        let leases = KeyLeases::take_over(self.record.clone(), self.reckoned, now, attempt, away);
        self.leaders.push(Leader {
            leases,
            until: u64::MAX,
            revision: self.revision,
            frozen: 0,
            turned_away: 0,
        });
    }

    pub(crate) fn disturb(&mut self) {
        let n = self.servers.len();
        let at = self.rng.random_range(0..n);
        match self.rng.random_range(0..1_000) {
            0..4 if !self.away => self.elect(),
            4..8 => self.servers[at].up = false,
            // Reborn under its name; what it held is gone.
            8..14 if !self.servers[at].up => {
                let name = self.servers[at].life.name.clone();
                self.servers.remove(at);
                self.join(name.as_str());
            }
            14..18 => self.servers[at].leaving = true,
            18..24 if n < 7 => {
                let name = format!("n{}", self.born);
                self.join(&name);
            }
            24..30 => self.servers[at].reachable = false,
            30..40 => self.servers[at].reachable = true,
            40..42 => self.away = true,
            42..50 => self.away = false,
            50..56 => self.freeze(),
            56..60 => {
                let until = self.now + self.rng.random_range(500..6_000);
                if let Some(leader) = self.leaders.last_mut() {
                    leader.turned_away = until;
                }
            }
            _ => {}
        }
        // Keep enough servers at work.
        if self.servers.iter().filter(|s| s.up && !s.leaving).count() < 2 {
            let name = format!("n{}", self.born);
            self.join(&name);
        }
    }

    /// Stops the leader's process for a while. One that stands still for longer than its lease is replaced
    /// meanwhile, and goes on when it wakes until it notices.
    pub(crate) fn freeze(&mut self) {
        let length = self.rng.random_range(100..5_000);
        let until = self.now + length;
        if let Some(leader) = self.leaders.last_mut() {
            leader.frozen = until;
        }
        if length > 1_300 && !self.away {
            self.elect();
        }
    }

    pub(crate) fn check(&mut self) {
        for i in 0..LOOKS {
            let holders = self
                .servers
                .iter()
                .filter(|s| s.up && s.keys[i].until > self.now);
            let holders: Vec<_> = holders.map(|s| (s.life.to_string(), s.keys[i])).collect();
            if holders.len() > 1 {
                self.violations
                    .push(format!("at {} key {}: {holders:?}", self.now, look(i)));
            }
        }
    }

    pub(crate) fn run(mut self) -> Self {
        self.elect();
        while self.now < LENGTH && self.violations.is_empty() {
            self.now += STEP;
            if disturbed(self.now) {
                self.disturb();
            } else {
                self.away = false;
            }
            if self.away {
                self.away_until = self.now + 12_000;
            }
            self.deliver();
            self.lead();
            self.check();
        }
        self
    }
}
