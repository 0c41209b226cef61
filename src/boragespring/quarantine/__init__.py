"""Find the parts of prompts that crash backend servers."""

from boragespring.quarantine.crashes import Crash, Prompt, ServerProcess

__all__ = ["Crash", "Prompt", "ServerProcess"]
