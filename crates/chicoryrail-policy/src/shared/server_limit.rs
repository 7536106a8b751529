//! How many requests a second a server takes.

use chicoryrail_core::Millis;

/// Time since a limit was last named for which answers without one don't lift it: answers of several hosts overtake each
/// other, and not each answer need name it.
const LIMIT_HOLD_TIME: Millis = Millis(2_000);

/// Time since a limit was last named after which it is forgotten, whatever was heard. A host that sends the server
/// nothing hears nothing of it.
const LIMIT_MEMORY_TIME: Millis = Millis(10_000);

/// What an answer says of the rate that its server takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateNotice {
    /// Any.
    Unlimited,
    /// So many requests a second from all hosts together.
    Limited(f64),
}

impl RateNotice {
    /// Reads the value of an answer's header, `None` where it has none; an error returns the text that is no rate.
    ///
    /// # Errors
    ///
    /// Returns the value where it is no number of 0 or more.
    ///
    /// # Example
    ///
    /// ```
    /// use chicoryrail_policy::RateNotice;
    ///
    /// assert_eq!(RateNotice::parse(Some("2.5")), Ok(RateNotice::Limited(2.5)));
    /// assert_eq!(RateNotice::parse(None), Ok(RateNotice::Unlimited));
    /// assert_eq!(RateNotice::parse(Some("-1")), Err("-1"));
    /// ```
    pub fn parse(value: Option<&str>) -> Result<Self, &str> {
        let Some(text) = value else {
            return Ok(Self::Unlimited);
        };
        match text.trim().parse::<f64>() {
            Ok(rate) if rate.is_finite() && rate >= 0.0 => Ok(Self::Limited(rate)),
            _ => Err(text),
        }
    }
}

/// The rate that a server takes, by what its answers said.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLimit {
    rate: Option<f64>,
    named: Millis,
}

impl ServerLimit {
    /// Takes in what an answer said; tells whether the limit changed.
    pub fn heard(&mut self, now: Millis, notice: RateNotice) -> bool {
        let before = self.rate(now);
        match notice {
            RateNotice::Limited(rate) => {
                self.rate = Some(rate);
                self.named = now;
            }
            RateNotice::Unlimited if now.since(self.named) >= LIMIT_HOLD_TIME => self.rate = None,
            RateNotice::Unlimited => {}
        }
        self.rate(now) != before
    }

    /// Returns the requests a second that the server takes from all hosts together; `None` where it takes any.
    #[must_use]
    pub fn rate(&self, now: Millis) -> Option<f64> {
        let remembered = now.since(self.named) <= LIMIT_MEMORY_TIME;
        self.rate.filter(|_| remembered)
    }
}
