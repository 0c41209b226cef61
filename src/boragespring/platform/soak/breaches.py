"""Guarantees that a soak run checks."""

from enum import StrEnum

__all__ = ["SoakBreachKind"]


class SoakBreachKind(StrEnum):
    """Kind of violated guarantee."""

    NO_END = "no_end"
    WRONG_ANSWER = "wrong_answer"
    UNSOUND_ANSWER = "unsound_reply_passed_on"
    WRONG_EVENTS = "wrong_events"
    RAN_TOO_OFTEN = "ran_too_often"
    RAN_THOUGH_REFUSED = "ran_though_refused"
    SERVED_REMOVED_KEY = "served_removed_key"
    DENIED = "denied"
    CUT_BY_PLANNED_WORK = "cut_by_planned_work"
    SENT_TO_LEAVING = "sent_to_leaving_server"
    SENT_ON = "crashing_prompt_sent_on"
    WRONGLY_REFUSED = "sound_prompts_refused"
    SENT_IN_PAUSE = "sent_to_paused_server"
    OVER_RATE = "more_than_the_named_rate"
    SENT_TO_DRAINED = "sent_to_drained_zone"
    OVER_COLD_RATE = "more_than_a_cold_server_takes"
    LOST = "lost"
    UNANSWERED = "kept_connections_closed_unanswered"
    ENDED_BY_ITSELF = "process_ended_by_itself"
    NOT_READY = "not_ready_after_faults"
    EXIT_CODE = "exit_code"
