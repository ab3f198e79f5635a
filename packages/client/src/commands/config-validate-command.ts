import {Command, Option, UsageError} from 'clipanion';
import {readDocumentFile} from '../document-file.js';
import {exitCodes} from '../exit-codes.js';

/** Validates a document locally, without calling an entry. */
export class ConfigValidateCommand extends Command {
	static override readonly paths = [['config', 'validate']];

	static override readonly usage = Command.Usage({
		category: 'Configuration',
		description: 'Validate a document and report every error with its line',
		examples: [['Validate a document', '$0 config validate fleet.yaml']],
	});

	readonly file = Option.String({name: 'FILE'});

	readonly isJson = Option.Boolean('--json', false, {
		description: 'Print JSON',
	});

	override async execute(): Promise<number> {
		try {
			const {text: _, ...summary} = readDocumentFile(this.file);
			const line = `valid: ${summary.customers} customers, ${summary.adapters} adapters, ${summary.routes} routes, digest ${summary.digest}`;
			const output = this.isJson ? JSON.stringify(summary, null, 2) : line;
			this.context.stdout.write(`${output}\n`);
			return exitCodes.success;
		} catch (error) {
			if (error instanceof UsageError) {
				this.context.stderr.write(`${error.message}\n`);
				return exitCodes.usage;
			}

			throw error;
		}
	}
}
