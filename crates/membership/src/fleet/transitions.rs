//! How news changes what is known of members, and of one's own place.

use arrayvec::ArrayVec;
use sableloom_types::{Span, Time};

use super::{Change, Fleet, Out};
use crate::book::{ACCUSERS, Health, Standing, Suspicion, replaces};
use crate::wire::{Key, MemberState, Update};

/// The worst local health: nine times the usual patience (Lifeguard, section IV-A, has eight).
pub(super) const MAX_LOCAL_HEALTH: u32 = 8;

impl Fleet {
    pub(super) fn changed(&mut self, out: &mut Out) {
        self.number += 1;
        self.place(out);
    }

    /// Looks at its own place again.
    pub(super) fn place(&mut self, out: &mut Out) {
        let there = self.there();
        let of = self.table.len() - self.table.left();
        // Half of those that it believes in have answered: the rest of what it knew is news enough to be
        // corrected by the usual way.
        if self.table.awaited().is_some_and(|(_, heard)| heard * 2 >= there) {
            self.table.await_all(None);
        }
        let standing = if self.table.awaited().is_some() {
            Standing::JustWoken
        } else if there == of {
            Standing::Whole
        } else if there == 0 {
            Standing::Alone
        } else {
            Standing::Part { hears: there + 1, of: of + 1 }
        };
        if standing != self.standing {
            self.standing = standing;
            out.changes.push(Change::Standing(standing));
        }
    }

    /// The doubt's shortest and longest time, for a fleet of this size.
    pub(super) fn doubts(&self) -> (f64, f64) {
        let n = (self.there() + 1) as f64;
        let least = self.times.doubt_least * n.log10().max(1.0) * self.times.period.as_micros_f64();
        (least, least * self.times.doubt_most)
    }

    pub(super) fn deadline(&self, from: Time, accusers: usize) -> Time {
        let (least, most) = self.doubts();
        // With fewer others than accusers are asked for, those that there are suffice.
        let wanted = ACCUSERS.min(self.there().saturating_sub(1));
        let part = match wanted {
            0 => 1.0,
            _ => ((accusers + 1) as f64).ln() / ((wanted + 1) as f64).ln(),
        };
        from.plus(Span::from_micros_f64((most - (most - least) * part.min(1.0)).max(least)))
    }

    /// Takes an update in, from others or of its own finding, and passes it on.
    pub(super) fn learn(&mut self, now: Time, news: Update, out: &mut Out) {
        if news.of == self.own {
            return self.refute(news, out);
        }
        let Some(i) = self.table.place(news.of) else { return };
        if !replaces(&news, self.table.at(i)) {
            return self.confirmed(i, news);
        }
        self.replace(now, i, news, out);
        self.pass_on(news);
    }

    /// Takes in what a page says. That is not passed on: each member that pulls a table would have all of it to tell.
    pub(super) fn learn_unheard(&mut self, now: Time, news: Update, out: &mut Out) {
        if news.of == self.own {
            return self.refute(news, out);
        }
        let Some(i) = self.table.place(news.of) else { return };
        if replaces(&news, self.table.at(i)) {
            self.replace(now, i, news, out);
        }
    }

    /// What is known of a member is this from now on.
    fn replace(&mut self, now: Time, i: usize, news: Update, out: &mut Out) {
        let deadline = self.deadline(now, 0);
        let (key, was, life) = self.table.change(i, |peer| {
            let (was, life) = (peer.health.clone(), peer.life);
            if news.life != peer.life {
                peer.nonce = 0;
            }
            (peer.life, peer.incarnation) = (news.life, news.incarnation);
            (peer.by, peer.since) = (news.by, now);
            peer.health = match news.state {
                MemberState::Alive => Health::Alive,
                MemberState::Suspect => {
                    let accusers = ArrayVec::new();
                    Health::Suspect(Box::new(Suspicion { accusers, until: deadline, from: now }))
                }
                MemberState::Dead => Health::Dead,
                MemberState::Left => Health::Left,
            };
            (peer.key, was, life)
        });
        let change = match news.state {
            MemberState::Alive if was.is_there() && life == news.life => {
                matches!(was, Health::Suspect(_)).then_some(Change::Cleared(key))
            }
            MemberState::Alive => Some(Change::Joined(key, news.life)),
            MemberState::Suspect => Some(Change::Doubted(key, news.by)),
            MemberState::Dead => Some(Change::Died(key, news.by)),
            MemberState::Left => Some(Change::Left(key)),
        };
        out.changes.extend(change);
        self.changed(out);
    }

    /// News that is no more than what is known may still be another's word for a doubt.
    pub(super) fn confirmed(&mut self, i: usize, news: Update) {
        let peer = self.table.at(i);
        if (news.life, news.incarnation) != (peer.life, peer.incarnation)
            || news.state != MemberState::Suspect
        {
            return;
        }
        let Health::Suspect(suspicion) = &peer.health else { return };
        let Suspicion { accusers, from, .. } = &**suspicion;
        if news.by == peer.by || accusers.contains(&news.by) || accusers.is_full() {
            return;
        }
        let deadline = self.deadline(*from, accusers.len() + 1);
        self.table.change(i, |peer| {
            if let Health::Suspect(suspicion) = &mut peer.health {
                suspicion.accusers.push(news.by);
                suspicion.until = deadline.min(suspicion.until);
            }
        });
        self.pass_on(news);
    }

    /// An update says something of this member itself: what is wrong is refuted by a later incarnation.
    pub(super) fn refute(&mut self, news: Update, out: &mut Out) {
        if self.leaving || (news.life, news.incarnation) < (self.life, self.incarnation) {
            return;
        }
        let same = (news.life, news.incarnation) == (self.life, self.incarnation);
        if same && news.state == MemberState::Alive {
            return;
        }
        if news.life > self.life {
            // An earlier process with a clock ahead of this one's, once; whoever does so again runs now.
            self.life = news.life.saturating_add(1);
            self.incarnation = 0;
            self.outdone += 1;
            if self.outdone == 2 {
                out.changes.push(Change::DuplicateIdentity);
            }
        } else {
            self.incarnation = news.incarnation.saturating_add(1);
            // Others do not hear it in time: that may be its own doing.
            self.worsen_local_health(1);
        }
        self.announce();
        self.changed(out);
        // Those who doubt it count the time, and its own may be slow: it does not wait for its next probe.
        self.pass_around(self.times.ask, out);
    }

    pub(super) fn worsen_local_health(&mut self, more: u32) {
        if self.times.has_local_health {
            self.doubt = (self.doubt + more).min(MAX_LOCAL_HEALTH);
        }
    }

    /// A knock that was sent at this time found that no process holds the member's address. One that was
    /// heard since has started after it.
    pub fn refused(&mut self, now: Time, of: Key, sent: Time, out: &mut Out) {
        self.now = now;
        let Some(peer) = self.peer(of).filter(|peer| peer.health.is_there()) else { return };
        if peer.heard.is_some_and(|heard| heard >= sent) {
            return;
        }
        let (life, incarnation, by) = (peer.life, peer.incarnation, self.own);
        self.learn(now, Update { of, life, incarnation, state: MemberState::Dead, by }, out);
        self.due = Some(self.next().max(now));
    }

    pub(super) fn dying(&mut self, now: Time, out: &mut Out) {
        for i in self.table.suspicions_over(now) {
            let peer = self.table.at(i);
            let (of, life, incarnation) = (peer.key, peer.life, peer.incarnation);
            self.learn(
                now,
                Update { of, life, incarnation, state: MemberState::Dead, by: self.own },
                out,
            );
        }
    }
}
