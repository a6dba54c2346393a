//! The peers that offer a newer configuration, and the order in which they are tried.

use std::collections::VecDeque;
use std::rc::{Rc, Weak};

use crate::link::Link;

/// A configuration version that a peer offers.
struct Offer {
    /// The connection to the peer; dangling once this process no longer synchronizes with the peer.
    link: Weak<Link>,
    /// Version of the configuration that the peer has.
    version: u32,
}

/// The offers of peers, at most one for each link. The configuration is fetched from the first.
#[derive(Default)]
pub(crate) struct Offers(VecDeque<Offer>);

impl Offers {
    /// Records that the peer behind `link` offers `version`. An offer of a lower version changes nothing.
    pub(crate) fn add(&mut self, link: &Rc<Link>, version: u32) {
        match self.0.iter_mut().find(|offer| offer.link.as_ptr() == Rc::as_ptr(link)) {
            Some(offer) => offer.version = offer.version.max(version),
            None => self.0.push_back(Offer { link: Rc::downgrade(link), version }),
        }
    }

    /// Returns the link to fetch from if a peer offers a version above `held`. Removes offers that are not newer and those
    /// whose link was closed.
    pub(crate) fn best(&mut self, held: Option<u32>) -> Option<Rc<Link>> {
        self.0.retain(|offer| offer.link.strong_count() > 0 && Some(offer.version) > held);
        self.0.front().and_then(|offer| offer.link.upgrade())
    }

    /// Moves the offer of `link` to the back if it is the first, so that the other peers are tried before it.
    pub(crate) fn defer(&mut self, link: &Rc<Link>) {
        if self.0.front().is_some_and(|offer| offer.link.as_ptr() == Rc::as_ptr(link)) {
            self.0.rotate_left(1);
        }
    }

    /// Removes the offer of `link`, whose peer has nothing newer after all.
    pub(crate) fn withdraw(&mut self, link: &Rc<Link>) {
        self.0.retain(|offer| offer.link.as_ptr() != Rc::as_ptr(link));
    }
}
