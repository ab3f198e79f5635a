import assert from 'node:assert/strict';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {exitCodes} from '@balsamtray/client';
import {parseDocument} from '@balsamtray/protocol';

const root = fileURLToPath(new URL('../../../../', import.meta.url));

/** Paths of the Markdown pages in the root and in docs/, relative to the root. */
function pages(): readonly string[] {
	const docs = readdirSync(path.join(root, 'docs'), {
		recursive: true,
		encoding: 'utf8',
	});
	return [
		...readdirSync(root).filter(file => file.endsWith('.md')),
		...docs
			.filter(file => file.endsWith('.md'))
			.map(file => path.join('docs', file)),
	];
}

function read(page: string): string {
	return readFileSync(path.join(root, page), 'utf8');
}

/** Contents of a package's source files, without tests. */
function sourcesOf(packageName: string): readonly string[] {
	const directory = path.join('packages', packageName, 'src');
	return readdirSync(path.join(root, directory), {
		recursive: true,
		encoding: 'utf8',
	})
		.filter(file => file.endsWith('.ts') && !file.endsWith('.test.ts'))
		.map(file => read(path.join(directory, file)));
}

/** First capture group of each match. */
function matchesOf(text: string, pattern: RegExp): readonly string[] {
	return [...text.matchAll(pattern)].map(match => match[1]!);
}

describe('pages', () => {
	describe('links', () => {
		it('refer to existing files', () => {
			for (const page of pages()) {
				const links = matchesOf(
					read(page),
					/\]\((?!https?:)([^\)#]+)(?:#[^\)]*)?\)/gv,
				);
				for (const link of links) {
					const target = path.join(root, path.dirname(page), link);
					assert.ok(existsSync(target), `${page} links to ${link}`);
				}
			}
		});
	});

	describe('the example document', () => {
		it("in the operators' pages is valid", () => {
			const [text] = matchesOf(
				read('docs/operators/document.md'),
				/```yaml\n(.*?)```/gsv,
			);
			assert.ok(text !== undefined);
			const result = parseDocument(text);
			assert.equal(
				result.kind,
				'valid',
				JSON.stringify(result, undefined, '\t'),
			);
		});

		it('of the demo, examples/lakeshore.yaml, is valid', () => {
			const result = parseDocument(read('examples/lakeshore.yaml'));
			assert.equal(result.kind, 'valid');
		});
	});

	describe('commands', () => {
		it('that pages mention exist in the client', () => {
			const shown = new Set(
				pages().flatMap(page =>
					matchesOf(
						read(page),
						/`balsamtray ((?:config|key|zone|server) [a-z]+|status|load)/gv,
					),
				),
			);
			const paths = sourcesOf('client').flatMap(text =>
				matchesOf(text, /paths = \[\[([^\]]+)\]\]/gv),
			);
			const known = new Set(
				paths.map(list => matchesOf(list, /'([a-z]+)'/gv).join(' ')),
			);
			assert.ok(shown.size > 8);
			for (const command of shown) {
				assert.ok(known.has(command), `no command "${command}"`);
			}
		});

		it('have exactly the exit codes that the page lists', () => {
			const listed = matchesOf(
				read('docs/operators/command-line.md'),
				/^\| (\d) \|/gmv,
			).map(Number);
			assert.deepEqual(
				listed.toSorted((a, b) => a - b),
				Object.values(exitCodes),
			);
		});
	});

	describe('metrics', () => {
		it('in the page are exactly those that the daemon emits', () => {
			const used = new Set(
				sourcesOf('daemon').flatMap(text =>
					matchesOf(
						text,
						/(?:increment|gauge|timing|count|_count)\(\s*'([a-z]+\.[a-z_]+)'/gv,
					),
				),
			);
			const [table] = read('docs/operators/metrics.md').split('\nLogs are');
			const listed = new Set(
				matchesOf(table!, /`([a-z]+\.[a-z_]+)`/gv).filter(
					name => name !== 'balsamtray.',
				),
			);
			assert.deepEqual([...used].toSorted(), [...listed].toSorted());
		});
	});
});
