//! Which events are shown.

use chicoryrail_core::HostName;
use chicoryrail_core::KeyHash;
use chicoryrail_core::Slice;
use chicoryrail_runtime::Event;
use chicoryrail_runtime::EventKind;

/// What an event must be about; conditions that are given must all hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// A key, or any slice that holds it.
    pub key: Option<String>,
    /// A request id or order id.
    pub request: Option<String>,
    /// A server.
    pub server: Option<String>,
    /// A data centre.
    pub dc: Option<String>,
    /// An epoch, also as the first part of a fence.
    pub epoch: Option<u64>,
    /// A kind of event.
    pub kind: Option<EventKind>,
    /// The host that recorded it.
    pub host: Option<HostName>,
    /// Earliest wall time in milliseconds since 1970.
    pub since: Option<u64>,
}

impl Filter {
    /// Tells whether events of the host can be among those shown; others need not be read.
    #[must_use]
    pub fn takes_host(&self, host: &HostName) -> bool {
        self.host.as_ref().is_none_or(|h| h == host)
    }

    /// Tells whether the event is shown.
    #[must_use]
    pub fn takes(&self, event: &Event) -> bool {
        let names = |wanted: &Option<String>, fields: &[&str]| {
            let wanted = wanted.as_deref();
            wanted.is_none_or(|w| event.subject == w || has(event, fields, |v| v == w))
        };
        self.takes_host(&event.host)
            && self.since.is_none_or(|since| event.stamp.wall >= since)
            && self.kind.is_none_or(|kind| event.kind == kind)
            && names(&self.request, &["request", "order", "id"])
            && names(&self.server, &["server", "from", "to", "owner"])
            && names(&self.dc, &["dc", "data_centre"])
            && self.epoch.is_none_or(|epoch| is_of_epoch(event, epoch))
            && self.key.as_ref().is_none_or(|key| is_about_key(event, key))
    }
}

/// Iterates over the `name=value` pairs of an event's details.
fn pairs(event: &Event) -> impl Iterator<Item = (&str, &str)> {
    let words = event.detail.split_whitespace();
    words.filter_map(|word| word.split_once('='))
}

fn has(event: &Event, fields: &[&str], wanted: impl Fn(&str) -> bool) -> bool {
    pairs(event).any(|(name, value)| fields.contains(&name) && wanted(value))
}

fn is_of_epoch(event: &Event, epoch: u64) -> bool {
    let of_epoch = |value: &str| {
        let first = value.split('.').next().unwrap_or_default();
        first.parse() == Ok(epoch)
    };
    has(event, &["epoch", "fence"], of_epoch)
}

/// A key's events name the key; moves and grants name slices, and the key lies in one of them.
fn is_about_key(event: &Event, key: &str) -> bool {
    let position = KeyHash::of(key);
    let about = |text: &str| {
        text == key
            || text == position.to_string()
            || slice(text).is_some_and(|s| s.contains(position))
    };
    let values = event.detail.split_whitespace();
    let values = values.map(|word| word.split_once('=').map_or(word, |(_, value)| value));
    about(&event.subject) || values.flat_map(|v| v.split(',')).any(about)
}

/// Reads a slice as its text form has it: two positions of 16 hexadecimal characters.
fn slice(text: &str) -> Option<Slice> {
    let (first, last) = text.split_once('-')?;
    let position = |hex: &str| {
        let whole = hex.len() == 16 && hex.bytes().all(|b| b.is_ascii_hexdigit());
        whole.then(|| u64::from_str_radix(hex, 16).ok()).flatten()
    };
    Some(Slice {
        first: position(first)?,
        last: position(last)?,
    })
}
