import {Command, Option, UsageError} from 'clipanion';
import {readDocumentFile} from '../document-file.js';
import {exitCodes} from '../exit-codes.js';

/** Checks a document without any entry. */
export class ConfigValidateCommand extends Command {
	static override readonly paths = [['config', 'validate']];

	static override readonly usage = Command.Usage({
		category: 'Configuration',
		description: 'Check a document and report every fault with its line',
		examples: [['Check a document', '$0 config validate fleet.yaml']],
	});

	readonly file = Option.String({name: 'FILE'});

	readonly isJson = Option.Boolean('--json', false, {
		description: 'Print JSON',
	});

	override async execute(): Promise<number> {
		try {
			const {text: _, ...found} = readDocumentFile(this.file);
			const line = `right: ${found.customers} customers, ${found.adapters} adapters, ${found.routes} routes, digest ${found.digest}`;
			const output = this.isJson ? JSON.stringify(found, null, 2) : line;
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
