/** Writes docs/operators/errors.md from the codes of refusals. With `--check` it compares instead. */
import {
	httpStatusOf,
	refusalCodes,
	refuseNotRun,
} from '../packages/core/dist/index.js';
import {writeOrCheck} from './generated-page.js';

function rowOf(code) {
	const {message} = refuseNotRun(code, {step: 'accept', peer: ''});
	return `| \`${code}\` | ${httpStatusOf(code)} | ${message} |`;
}

writeOrCheck(
	'docs/operators/errors.md',
	`# Error codes

This page is generated from the code by \`npm run docs:generate\`; CI checks that it is current.

Each refusal has a code, which is also the tag \`code\` of the counter \`entry.refused\`. Whether the request ran is not told by the code but by \`not_run\` in the error body: \`true\` only when it surely reached no back end. \`retry_after_ms\` and the header \`Retry-After\` are there when a new try makes sense; see [callers.md](../callers.md).

| code | HTTP status | meaning |
| --- | --- | --- |
${refusalCodes.map(code => rowOf(code)).join('\n')}
`,
);
