export default {
  paths: ["features/*.feature"],
  import: ["target/test/features/steps/*.js"],
  format: ["summary"],
  strict: true,
  // The scenarios of KNOWN-RED.txt; `npm run test:known-red` runs them.
  tags: "not @known-red and not @known-red-at-times",
};
