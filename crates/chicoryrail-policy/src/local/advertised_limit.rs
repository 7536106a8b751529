//! Parses the rate limits that servers advertise in their responses, and decides how long a limit applies.

use chicoryrail_core::Millis;

/// Time after the last advertised limit during which responses without one don't remove it: responses to several hosts
/// overtake each other, and not every response must carry the limit.
const LIMIT_HOLD_TIME: Millis = Millis(2_000);

/// Time after which a limit that is not advertised again expires in any case. A host that sends the server no requests
/// receives no responses that could remove the limit.
const LIMIT_EXPIRY_TIME: Millis = Millis(10_000);

/// Rate that a server's response advertises.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdvertisedRate {
    /// No limit.
    Unlimited,
    /// Requests per second from all hosts together.
    Limited(f64),
}

impl AdvertisedRate {
    /// Parses the value of a response's header; `None` stands for a response without the header.
    ///
    /// # Errors
    ///
    /// Returns the value if it is not a finite number of at least 0.
    ///
    /// # Example
    ///
    /// ```
    /// use chicoryrail_policy::AdvertisedRate;
    ///
    /// assert_eq!(AdvertisedRate::parse(Some("2.5")), Ok(AdvertisedRate::Limited(2.5)));
    /// assert_eq!(AdvertisedRate::parse(None), Ok(AdvertisedRate::Unlimited));
    /// assert_eq!(AdvertisedRate::parse(Some("-1")), Err("-1"));
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

/// Rate limit of a server, as advertised by its responses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdvertisedLimit {
    /// Requests per second, by the last response that advertised a limit; `None` without a limit.
    rate: Option<f64>,
    /// Time of that response.
    advertised_at: Millis,
}

impl AdvertisedLimit {
    /// Applies the rate that a response advertises. Returns `true` if this changes the limit.
    pub fn record(&mut self, now: Millis, advertised: AdvertisedRate) -> bool {
        let before = self.rate(now);
        match advertised {
            AdvertisedRate::Limited(rate) => {
                self.rate = Some(rate);
                self.advertised_at = now;
            }
            AdvertisedRate::Unlimited if now.since(self.advertised_at) >= LIMIT_HOLD_TIME => {
                self.rate = None;
            }
            AdvertisedRate::Unlimited => {}
        }
        self.rate(now) != before
    }

    /// Returns the requests per second that the server accepts from all hosts together; `None` without a limit.
    #[must_use]
    pub fn rate(&self, now: Millis) -> Option<f64> {
        let is_current = now.since(self.advertised_at) <= LIMIT_EXPIRY_TIME;
        self.rate.filter(|_| is_current)
    }
}
