package cli

// commands lists all commands of the tool.
func commands() []command {
	return []command{
		questionnaireCommand,
		timelineCommand,
		configurationCommand,
		versionCommand,
		standinCommand,
		demoCommand,
		measureCommand,
		statusCommand,
	}
}
