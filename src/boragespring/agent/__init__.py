"""Agent process, which runs next to a backend server and proxies all its traffic."""

from boragespring.agent.daemon import AgentDaemon
from boragespring.agent.generations import GenerationRunner
from boragespring.agent.service_calls import ServiceCallRunner

__all__ = ["AgentDaemon", "GenerationRunner", "ServiceCallRunner"]
