//! Which processes offer a newer configuration, and over which connection it is fetched.

use std::collections::VecDeque;
use std::rc::{Rc, Weak};

use crate::link::Link;

struct Offer {
    link: Weak<Link>,
    version: u32,
}

/// Offers of those that are followed; the first is fetched from.
#[derive(Default)]
pub(crate) struct Offers(VecDeque<Offer>);

impl Offers {
    /// A process that is followed has this version.
    pub(crate) fn add(&mut self, link: &Rc<Link>, version: u32) {
        match self.0.iter_mut().find(|offer| offer.link.as_ptr() == Rc::as_ptr(link)) {
            Some(offer) => offer.version = offer.version.max(version),
            None => self.0.push_back(Offer { link: Rc::downgrade(link), version }),
        }
    }

    /// The connection to fetch from, where somebody has more than the version that is held. Offers that lead nowhere, by
    /// those that are followed no longer too, are forgotten.
    pub(crate) fn best(&mut self, held: Option<u32>) -> Option<Rc<Link>> {
        self.0.retain(|offer| offer.link.strong_count() > 0 && Some(offer.version) > held);
        self.0.front().and_then(|offer| offer.link.upgrade())
    }

    /// The one that is fetched from has failed: the others are asked before it.
    pub(crate) fn defer(&mut self, link: &Rc<Link>) {
        if self.0.front().is_some_and(|offer| offer.link.as_ptr() == Rc::as_ptr(link)) {
            self.0.rotate_left(1);
        }
    }

    /// It has nothing newer after all.
    pub(crate) fn withdraw(&mut self, link: &Rc<Link>) {
        self.0.retain(|offer| offer.link.as_ptr() != Rc::as_ptr(link));
    }
}
