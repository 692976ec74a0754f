package cli

// commands lists all commands of the tool.
func commands() []command {
	return []command{
		configurationCommand,
		versionCommand,
	}
}
