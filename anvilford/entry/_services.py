"""One dispatcher for each service that has targets."""

import random
from collections.abc import Mapping
from collections.abc import Sequence

from anvilford.configuration import Document
from anvilford.entry._policy import build_policy
from anvilford.model import AttemptOutcome
from anvilford.model import JobSpec
from anvilford.model import NotRun
from anvilford.model import RefusalReason
from anvilford.scheduling import Dispatcher
from anvilford.scheduling import JobFinished
from anvilford.scheduling import TargetView

ATTEMPT_ID_SEPARATOR = "."


class ServiceDispatchers:
    """Routes jobs and attempts to the dispatcher of their service.

    Each target runs one service, so services share no targets and slow or
    failing tasks of one service do not delay those of another.

    Attributes:
        zone: Availability zone of this entry.
        token: Token of this entry's incarnation, the prefix of its attempt
            ids.
        rng: Random source of the dispatchers.
        document: Configuration in force; None before the first one.
        dispatchers: Dispatchers by service; a service gets one when its first
            target is known and keeps it.
        job_services: Service of each unanswered job, by job key.
    """

    def __init__(self, zone: str, token: str, rng: random.Random):
        self.zone = zone
        self.token = token
        self.rng = rng
        self.document: Document | None = None
        self.dispatchers: dict[str, Dispatcher] = {}
        self.job_services: dict[int, str] = {}
        self._dispatchers_by_prefix: dict[str, Dispatcher] = {}

    def submit(
        self, job_key: int, job: JobSpec, caller: str, now: float
    ) -> list:
        """Submits a job to the dispatcher of its service.

        A job is refused if its service is not configured or has no targets.

        Args:
            job_key: Key that identifies the job in effects.
            job: Job to dispatch.
            caller: Name of the caller that submitted it.
            now: Loop time in seconds.

        Returns:
            Effects of the dispatcher.
        """
        dispatcher = self.dispatchers.get(job.service)
        if dispatcher is None:
            if self.document and job.service in self.document.services:
                return [JobFinished(job_key, NotRun(RefusalReason.NO_TARGET))]
            refusal = NotRun(RefusalReason.UNKNOWN_SERVICE)
            return [JobFinished(job_key, refusal)]
        self.job_services[job_key] = job.service
        return self._remove_answered_jobs(
            dispatcher.submit(job_key, job, caller, now)
        )

    def cancel(self, job_key: int, now: float) -> list:
        """Cancels a job unless it is already answered."""
        service = self.job_services.get(job_key)
        if service is None:
            return []
        return self._remove_answered_jobs(
            self.dispatchers[service].cancel(job_key, now)
        )

    def finish(
        self, attempt_id: str, outcome: AttemptOutcome, now: float
    ) -> list:
        """Passes the outcome of an attempt to the dispatcher that started it.

        Args:
            attempt_id: Id of the attempt; its prefix identifies the
                dispatcher.
            outcome: Outcome of the attempt.
            now: Loop time in seconds.

        Returns:
            Effects of the dispatcher.
        """
        prefix = attempt_id.rpartition("-")[0]
        dispatcher = self._dispatchers_by_prefix.get(prefix)
        if dispatcher is None:
            return []
        return self._remove_answered_jobs(
            dispatcher.finish(attempt_id, outcome, now)
        )

    def advance(self, now: float) -> list:
        """Runs the timers of all dispatchers whose wake-up time is reached."""
        effects = []
        for dispatcher in self.dispatchers.values():
            wakeup = dispatcher.next_wakeup()
            if wakeup is not None and wakeup <= now:
                effects += dispatcher.advance(now)
        return self._remove_answered_jobs(effects)

    def next_wakeup(self) -> float | None:
        """Returns the earliest wake-up time of all dispatchers.

        Returns:
            Loop time in seconds, or None if no dispatcher has a timer.
        """
        times = [d.next_wakeup() for d in self.dispatchers.values()]
        return min((t for t in times if t is not None), default=None)

    def apply_targets(
        self, views: Mapping[str, Sequence[TargetView]], now: float
    ) -> None:
        """Replaces the targets of every service.

        Args:
            views: Targets by service; services that are absent have none.
            now: Loop time in seconds.
        """
        for service in views:
            if service not in self.dispatchers:
                self._add_dispatcher(service)
        for service, dispatcher in self.dispatchers.items():
            dispatcher.apply_targets(views.get(service, ()), now)

    def apply_document(self, document: Document, now: float) -> None:
        """Applies a new configuration to every service's dispatcher."""
        self.document = document
        for service, dispatcher in self.dispatchers.items():
            dispatcher.apply_policy(build_policy(document, service), now)

    def _add_dispatcher(self, service: str) -> None:
        prefix = f"{self.token}{ATTEMPT_ID_SEPARATOR}{len(self.dispatchers)}"
        dispatcher = Dispatcher(
            self.zone, prefix, build_policy(self.document, service), self.rng
        )
        self.dispatchers[service] = dispatcher
        self._dispatchers_by_prefix[prefix] = dispatcher

    def _remove_answered_jobs(self, effects: list) -> list:
        for effect in effects:
            if isinstance(effect, JobFinished):
                self.job_services.pop(effect.job_key, None)
        return effects
