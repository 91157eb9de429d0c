"""What gateways tell each other: queues and batches of mail, and what was heard put into memory. Decides nothing."""

from __future__ import annotations

from dockthread import api, message
from dockthread.sketch import Sketch
from dockthread.state import Customer, Memory

INTAKE_PART, BATCH, STOCK = 0.8, 2, 4  # part of an intake that all use; messages waited for; s of it in stock
SILENT_AFTER, SILENT_FOR = 6, 5.0  # messages without a word that make a peer silent; s until it is tried
NOTED, MOST_TOLD = 0.1, 3  # failed part of a worker that is told; most told


class Mail(Memory):
    """The gateway's post. Its parts that decide stand in the classes that follow it."""

    sketches: list[Sketch | None]

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.intake = INTAKE_PART * max(settings.peer_intake, 1.0)
        self.stock = STOCK * self.intake

    def _customer(self, key: int, number: int) -> Customer:
        raise NotImplementedError

    def _review(self, key: int, c: Customer, sender: int) -> None:
        raise NotImplementedError

    def _report(self, key: int, c: Customer) -> None:
        raise NotImplementedError

    def _greet(self) -> None:
        """Keepers answer a greeting with the customers that are short."""
        peers = [p for p in range(self.s.gateways) if p != self.me]
        self.mail = {p: {} for p in self.rng.sample(peers, len(peers))}
        self._mail_soon()

    def _post(self, peer: int, key: int, kept: bool) -> None:
        if peer != self.me:
            self.mail.setdefault(peer, {})[key] = kept
            self._mail_soon()

    def _mail_soon(self) -> None:
        if not self.mailing and self.s.may_tell:
            self.mailing = True
            self.timer(self.now + BATCH / self.intake, self._send_mail)

    def _send_mail(self) -> None:
        """On average as many messages as this gateway could take in itself; news before greetings."""
        self.stock = min(STOCK * self.intake, self.stock + self.intake * (self.now - self.mailed))
        self.mailing, self.mailed = False, self.now
        bad = [w for w in self.codes.values() if w.failed > NOTED]
        suspects = [(w.code, w.failed) for w in self.rng.sample(bad, min(MOST_TOLD, len(bad)))]
        for peer in sorted(self.mail, key=lambda p: not self.mail[p]):
            notes = self.mail[peer]
            if self.stock < 1 or (not notes and self.stock < STOCK * self.intake / 2):
                break
            keys = sorted(notes, key=lambda key: self.customers[key].level)[: message.room(len(suspects))]
            customers = [(key, self._customer(key, self.customers[key].plan)) for key in keys]  # the shortest
            words = [c.word_of(key) for key, c in customers if notes[key]]
            reports = [c.report_of(key) for key, c in customers if not notes.pop(key)]
            self.actions.append(api.Tell(message.pack(self.life, suspects, words, reports), peer))
            if not notes:
                del self.mail[peer]
            self.stock -= 1
            self.owed[peer] = self.owed.get(peer, 0) + 1
            if self.owed[peer] > SILENT_AFTER:
                self.silent[peer] = self.now + SILENT_FOR
        if self.mail:
            self._mail_soon()

    def _said(self, e: api.PeerSaid) -> None:
        told = message.unpack(e.data, len(self.s.plans))
        if told is None or not 0 <= e.peer < self.s.gateways or e.peer == self.me:
            return
        self.heard = self.now
        self.owed.pop(e.peer, None)
        self.silent.pop(e.peer, None)
        for code, failed in told.suspects:
            if suspect := self.codes.get(code):
                suspect.failed = max(suspect.failed, failed)
        if self.lives.get(e.peer) != told.life:  # it started: it is to know whose quota is used up
            self.lives[e.peer] = told.life
            for key in self.short:
                if (e.peer - self.customers[key].first) % self.s.gateways < self.customers[key].spread:
                    self._post(e.peer, key, True)
        for w in told.words:
            c = self._customer(w.customer, w.plan)
            c.total, c.word, c.others = w.rate, self.now, max(0, w.out - c.out)
            c.level = min(self.s.plans[c.plan].burst, w.left - (c.spent - c.told_spent))
        for report in told.reports:
            self._count(e.peer, self._customer(report.customer, report.plan), report)

    def _count(self, peer: int, c: Customer, r: message.Report) -> None:
        c.first, c.spread, c.keeper = r.first % self.s.gateways, min(r.spread, self.s.gateways), self.me
        life, arrived, spent = c.told.get(peer, (-1, 0, 0))
        if life != self.lives[peer]:  # it counts from nothing
            arrived = spent = 0
        asked, used = message.grown(r.arrived, arrived), message.grown(r.spent, spent)
        if life < 0:  # one of us is new to it: the last request counts, and a start does not fill the store
            asked, used = min(asked, self.s.largest_units), min(used, self.s.largest_units)
            c.level = min(c.level, r.left + used)
        c.told[peer] = (self.lives[peer], r.arrived, r.spent)
        c.level -= used
        if asked > 0 and (sketch := self.sketches[c.plan]) is not None:
            c.rate = sketch.add(r.customer, asked, self.now)
        c.outs.pop(peer, None)
        if r.out:
            c.outs[peer] = (self.now, r.out)
        self._review(r.customer, c, peer)
